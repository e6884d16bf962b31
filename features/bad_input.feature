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
