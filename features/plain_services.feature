Feature: Plain services receive what the caller sends, and the caller their responses

  Background:
    Given a daemon with 2 ledgers as plain services

  Scenario: Method, path, query, body and type reach the service, and no key does
    When the caller sends PUT "/services/records/lots/7?page=2&x=%20y" with a body of its own type
    Then a ledger received exactly that call without the caller's key
    And the caller receives the service's status, body and type

  Scenario: An idempotent call is tried on the other endpoint
    When one ledger answers 503 and 8 idempotent calls are sent
    Then all 8 service calls are answered with 200 by the other ledger
    And 8 further calls are answered with 200 when the first ledger is killed

  Scenario: A call that may not be repeated is sent once though another endpoint is there
    When both ledgers cut off their next response and an action is sent
    Then the action's caller gets 502 with "unknown" and one ledger was called once
