Feature: A request from caller to endpoint through separate processes

  Background:
    Given a fleet of 1 daemon, 1 engine and a ledger with a published configuration

  Scenario: A streamed completion carries the whole answer of its adapter
    When the caller streams a completion of 12 tokens on "batch-summary@1"
    Then the caller receives the 12 tokens that "batch-summary@1" generates
    And engine "engine-1" ran it on "batch-summary@1" without the caller's key
    And each line of the daemon's log is JSON, and one has the request id, step and peer

  Scenario: A plain completion and a chat through the public client
    When the public client requests a completion and a chat on "batch-summary"
    Then both responses are those of "batch-summary@2"
    And the public client lists the models "batch-summary@1" and "batch-summary@2"

  Scenario: A withdrawn key stops working
    When the key is withdrawn
    Then a completion is refused with 401 "invalid_api_key" as not run within 5 s

  Scenario: A service call is routed
    When the caller posts to "/services/records/lots"
    Then the response has status 201 and the ledger received 1 call without the caller's key

  Scenario Outline: A bad request gets a clear error and is not run
    When the caller sends <what>
    Then the request is refused with <status> "<code>" as not run
    And no endpoint received a request and the daemon's log contains no key

    Examples:
      | what                  | status | code              |
      | a malformed body      | 400    | invalid_request   |
      | an unknown adapter    | 404    | not_found         |
      | an adapter not granted| 404    | not_found         |
      | an unknown version    | 404    | not_found         |
      | an oversized body     | 413    | request_too_large |
      | no key                | 401    | invalid_api_key   |
      | a wrong key           | 401    | invalid_api_key   |
      | a key without scheme  | 401    | invalid_api_key   |
      | no JSON object        | 400    | invalid_request   |
      | no prompt             | 400    | invalid_request   |
      | a negative limit      | 400    | invalid_request   |
      | an unknown path       | 404    | not_found         |

  Scenario Outline: Each process dumps its state on request
    When the state of "<process>" is requested
    Then the state has the fields "<fields>"

    Examples:
      | process   | fields                                                             |
      | entry-1   | name configuration view freshness claims limits endpoints metrics  |
      | engine-1  | faults controls requests_seen resident running fencing_number      |
      | ledger    | faults controls requests_seen entries                              |
      | log       | faults controls requests_seen streams                              |
      | weights   | faults controls requests_seen in_flight                            |
      | instances | faults controls requests_seen visible latest                       |

  Scenario: A daemon told to stop leaves the view
    When the daemon is stopped
    Then it exits with code 0 and its last view record is a leave
