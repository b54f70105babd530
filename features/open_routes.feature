Feature: A route open to all needs no key, and opens nothing else

  Background:
    Given a daemon with an open route, an open action and a closed route to one ledger

  Scenario Outline: An open route is served whatever key comes, and passes none on
    When a caller with <key> sends GET "/services/hours/today?desk=3"
    Then the open call is answered with 200 and reached the ledger as "/today?desk=3"
    And no key reached the ledger or the log

    Examples:
      | key               |
      | no key            |
      | a granted key     |
      | a withdrawn key   |
      | a malformed key   |

  Scenario Outline: What is not open stays closed beside an open route
    When a caller with <key> sends <method> "<path>"
    Then the call is refused with <status> "<code>" as not run
    And nothing reached the ledger

    Examples:
      | key             | method | path                              | status | code            |
      | no key          | GET    | /services/records/lots            | 401    | invalid_api_key |
      | a withdrawn key | GET    | /services/records/lots            | 401    | invalid_api_key |
      | another's key   | GET    | /services/records/lots            | 404    | not_found       |
      | no key          | GET    | /services/nothing/lots            | 401    | invalid_api_key |
      | a granted key   | GET    | /services/nothing/lots            | 404    | not_found       |
      | no key          | GET    | /services//records/lots           | 404    | not_found       |
      | no key          | GET    | /v1/models                        | 401    | invalid_api_key |
      | no key          | POST   | /v1/completions                   | 401    | invalid_api_key |

  Scenario: Calls on an open route count towards no limit, those on a closed one do
    When 12 callers without a key call the open route, which costs 10 tokens a call
    Then all 12 open calls are answered with 200
    And the second of 2 calls of the closed route, of the same cost, is refused with 429

  Scenario: An open action runs once for each idempotency key
    When a caller without a key posts the open action without an idempotency key
    Then the call is refused with 400 "invalid_request" as not run
    When a caller without a key posts the open action twice under one idempotency key
    Then both get the same response and the ledger has 1 entry

  Scenario: A path reaches the service as the caller wrote it
    When a caller with no key sends GET "/services/hours/desk%20a/caf%C3%A9?x=%20y"
    Then the open call is answered with 200 and reached the ledger as "/desk%20a/caf%C3%A9?x=%20y"

  Scenario: An open route is served when keys cannot be checked
    When the log goes down and calls with another's key are refused with 503
    And a caller with no key sends GET "/services/hours/today"
    Then the open call is answered with 200 and reached the ledger as "/today"

  Scenario: A key that is withdrawn between two filters ends its request
    When a key is withdrawn after it was checked and before it is watched
    Then the request ends with "invalid_api_key" and is not passed on

  Scenario: A closed route that is opened is served without a key, and closed again is not
    When the closed route is opened
    Then a caller without a key gets 200 on it within 5 s
    When the route is closed again
    Then a caller without a key gets 401 on it within 5 s
