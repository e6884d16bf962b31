Feature: The main job
  The demo drives real daemons and stand-ins from start to graceful stop.

  Scenario: The demo keeps its promises
    When the demo runs
    Then it ends with 0
    And it prints "the booking service ran the call 1 time"
    And it prints "the record is whole"
