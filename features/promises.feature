Feature: Guarantees under failure
  Real daemons and stand-ins; processes crash, the log fails, operators conflict.

  Scenario: Operators change the same revision concurrently
    Given 2 daemons in front of 0 engines
    When 3 operators activate presets based on the same revision
    Then 1 activation succeeds
    And preset "peak" is in force on every daemon

  Scenario: Bookings while the log is down
    Given 2 daemons in front of 1 engines
    When the log is down
    And daemon 0 has detected that the log is down
    And a booking is sent to daemon 0
    Then the outcome of the booking is "not_run"
    And the service ran the booking 0 times
    When a chat is served by daemon 0
    Then the chat response is complete
    When the log is up
    And 3 seconds pass
    And the same booking is sent to daemon 0
    Then the outcome of the booking is "done"
    And the service ran the booking 1 times

  Scenario: A daemon crashes during a booking
    Given 2 daemons in front of 0 engines
    When the service drops its responses
    And a booking is in progress at daemon 0
    And daemon 0 is killed
    And daemon 0 is removed from the instance list
    And the same booking is sent to daemon 1
    Then the outcome of the booking is "unknown"
    And the service ran the booking 1 times

  Scenario: A daemon crashes during chats
    Given 2 daemons in front of 2 engines
    When long chats are in progress at daemon 0
    And daemon 0 is killed
    And daemon 0 is removed from the instance list
    Then all engine memory is released

  Scenario: A graceful stop completes chats in progress
    Given 2 daemons in front of 2 engines
    When long chats are in progress at daemon 0
    And daemon 0 receives SIGTERM
    Then every chat in progress completes
    And daemon 0 exits with code 0
    And all engine memory is released

  Scenario: A graceful stop while the log is down
    Given 2 daemons in front of 1 engines
    When a chat is served by daemon 0
    And the log is down
    And daemon 0 receives SIGTERM
    Then daemon 0 exits with code 0

  Scenario: A restart while the log is down, with a peer
    Given 2 daemons in front of 0 engines
    When the log is down
    And daemon 0 is killed
    And daemon 0 is restarted
    Then daemon 0 becomes ready

  Scenario: A restart while the log is down, without a peer
    Given 1 daemons in front of 0 engines
    When the log is down
    And daemon 0 is killed
    And daemon 0 is restarted
    And 4 seconds pass
    Then daemon 0 is not ready
    When the log is up
    Then daemon 0 becomes ready
