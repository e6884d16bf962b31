Feature: Bad input
  Each is refused with a reason and a remedy, and leaves no state behind.

  Scenario: Invalid requests
    Given 1 daemons in front of 1 engines
    When a request with a body that is not JSON is sent to daemon 0
    Then it is refused with reason bad_request and status 400
    When a request with a JSON body that is not an object is sent to daemon 0
    Then it is refused with reason bad_request and status 400
    When a request with no model is sent to daemon 0
    Then it is refused with reason bad_request and status 400
    When a request with a number as message content is sent to daemon 0
    Then it is refused with reason bad_request and status 400
    When a request with a string as max_tokens is sent to daemon 0
    Then it is refused with reason bad_request and status 400
    When a request with an unknown model is sent to daemon 0
    Then it is refused with reason unknown_model and status 404
    When a request with no deadline is sent to daemon 0
    Then it is refused with reason deadline_invalid and status 400
    When a request with a past deadline is sent to daemon 0
    Then it is refused with reason deadline_invalid and status 400
    When a request with an out-of-range deadline is sent to daemon 0
    Then it is refused with reason deadline_invalid and status 400
    When a request with a deadline that is not a number is sent to daemon 0
    Then it is refused with reason deadline_invalid and status 400
    When a request with no API key is sent to daemon 0
    Then it is refused with reason unauthorized and status 401
    When a request with an unknown API key is sent to daemon 0
    Then it is refused with reason unauthorized and status 401
    When a request with a body over the size limit is sent to daemon 0
    Then it is refused with reason too_large and status 413
    When a chat is served by daemon 0
    Then the chat response is complete
    And all engine memory is released

  Scenario: Broken and stalled connections
    Given 1 daemons in front of 1 engines
    When a caller disconnects from daemon 0 during a response
    Then all engine memory is released
    When a caller disconnects from daemon 0 during a request
    And a chat is served by daemon 0
    Then the chat response is complete
    When a caller sends half a header to daemon 0 and waits
    Then the daemon refuses the request and closes the connection

  Scenario: Invalid log records and peer messages
    Given 2 daemons in front of 1 engines
    When invalid records are appended to every log stream
    And a peer message of unknown kind is sent to daemon 0
    Then the peer gets the status INVALID_ARGUMENT
    When a booking is sent to daemon 0
    Then the outcome of the booking is "done"
    When 3 operators activate presets based on the same revision
    Then 1 activation succeeds
    And preset "peak" is in force on every daemon
