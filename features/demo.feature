Feature: Demo
  The demo runs real daemons and stand-ins from start to graceful stop.

  Scenario: The demo succeeds
    When the demo runs
    Then it exits with code 0
    And it prints "the booking service ran the call 1 time"
    And it prints "the record is whole"
