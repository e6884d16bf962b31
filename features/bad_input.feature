Feature: Bad input
  Each is refused with a reason and a remedy, and nothing is left behind.

  Scenario: Requests that can not be served
    Given 1 daemons before 1 engines
    When a request with not JSON is sent to daemon 0
    Then it is refused as bad_request with status 400
    When a request with no object is sent to daemon 0
    Then it is refused as bad_request with status 400
    When a request with no model is sent to daemon 0
    Then it is refused as bad_request with status 400
    When a request with a number as content is sent to daemon 0
    Then it is refused as bad_request with status 400
    When a request with text as max_tokens is sent to daemon 0
    Then it is refused as bad_request with status 400
    When a request with an unknown model is sent to daemon 0
    Then it is refused as unknown_model with status 404
    When a request with no deadline is sent to daemon 0
    Then it is refused as deadline_invalid with status 400
    When a request with a past deadline is sent to daemon 0
    Then it is refused as deadline_invalid with status 400
    When a request with an absurd deadline is sent to daemon 0
    Then it is refused as deadline_invalid with status 400
    When a request with a deadline that is no number is sent to daemon 0
    Then it is refused as deadline_invalid with status 400
    When a request with no key is sent to daemon 0
    Then it is refused as unauthorized with status 401
    When a request with a wrong key is sent to daemon 0
    Then it is refused as unauthorized with status 401
    When a request with a body beyond the limit is sent to daemon 0
    Then it is refused as too_large with status 413
    When a chat is served by daemon 0
    Then the chat is whole
    And no engine holds memory

  Scenario: Connections that break
    Given 1 daemons before 1 engines
    When a caller leaves daemon 0 in the middle of its answer
    Then no engine holds memory
    When a request to daemon 0 is cut short
    And a chat is served by daemon 0
    Then the chat is whole
    When a sender of half a header waits at daemon 0
    Then its connection is closed

  Scenario: Records and messages that do not parse
    Given 2 daemons before 1 engines
    When records that do not parse are on every stream
    And a peer message of no known kind reaches daemon 0
    Then the peer is told that its message is invalid
    When a booking is made at daemon 0
    Then the booking is answered with "done"
    When 3 operators activate presets on the same revision
    Then 1 of them is told to have won
    And preset "peak" is in force everywhere
