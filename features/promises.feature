Feature: Promises under failure
  Real daemons and stand-ins; processes die, the log goes down, operators race.

  Scenario: Operators race for one revision
    Given 2 daemons before 0 engines
    When 3 operators activate presets on the same revision
    Then 1 of them is told to have won
    And preset "peak" is in force everywhere

  Scenario: Bookings while the log is down
    Given 2 daemons before 1 engines
    When the log is down
    And daemon 0 has noticed that the log is down
    And a booking is made at daemon 0
    Then the booking is answered with "not_run"
    And the service ran it 0 times
    When a chat is served by daemon 0
    Then the chat is whole
    When the log is up
    And 3 seconds pass
    And the same booking is made at daemon 0
    Then the booking is answered with "done"
    And the service ran it 1 times

  Scenario: A daemon dies in the middle of a booking
    Given 2 daemons before 0 engines
    When the service loses its answers
    And a booking is on its way at daemon 0
    And daemon 0 is killed
    And daemon 0 is off the list
    And the same booking is made at daemon 1
    Then the booking is answered with "unknown"
    And the service ran it 1 times

  Scenario: A daemon dies in the middle of answers
    Given 2 daemons before 2 engines
    When long chats are in progress at daemon 0
    And daemon 0 is killed
    And daemon 0 is off the list
    Then no engine holds memory

  Scenario: A planned stop cuts nothing
    Given 2 daemons before 2 engines
    When long chats are in progress at daemon 0
    And daemon 0 is told to stop
    Then every chat in progress is whole
    And daemon 0 ends with 0
    And no engine holds memory

  Scenario: A planned stop while the log is down
    Given 2 daemons before 1 engines
    When a chat is served by daemon 0
    And the log is down
    And daemon 0 is told to stop
    Then daemon 0 ends with 0

  Scenario: A restart while the log is down, with a peer
    Given 2 daemons before 0 engines
    When the log is down
    And daemon 0 is killed
    And daemon 0 is started again
    Then daemon 0 becomes ready

  Scenario: A restart while the log is down, without a peer
    Given 1 daemons before 0 engines
    When the log is down
    And daemon 0 is killed
    And daemon 0 is started again
    And 4 seconds pass
    Then daemon 0 is not ready
    When the log is up
    Then daemon 0 becomes ready
