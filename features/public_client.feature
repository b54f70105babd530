Feature: The public client of the completions format maps each error to its own class

  Background:
    Given a daemon with an engine, and the public client of a workspace

  Scenario Outline: An error reaches the public client as its class, with code and step
    When the public client <action>
    Then it raises <class> with status <status> and code "<code>" at step "<step>"
    And the engine received no request

    Examples:
      | action                                 | class                 | status | code                 | step          |
      | has a wrong key                        | AuthenticationError   | 401    | invalid_api_key      | authenticate  |
      | has a withdrawn key                    | AuthenticationError   | 401    | invalid_api_key      | authenticate  |
      | requests an unknown adapter            | NotFoundError         | 404    | not_found            | resolve       |
      | requests another workspace's adapter   | NotFoundError         | 404    | not_found            | resolve       |
      | sends a bad body                       | BadRequestError       | 400    | invalid_request      | parse_request |
      | requests more than its burst           | RateLimitError        | 429    | rate_limit_exceeded  | limits        |
      | requests an adapter without an engine  | InternalServerError   | 503    | unavailable          | endpoints     |
      | sends an oversized body                | APIStatusError        | 413    | request_too_large    | callers_app   |

  Scenario: A spent rate is refused with the time after which it is covered
    When the public client spends its burst and sends another request
    Then it raises RateLimitError with status 429 and code "rate_limit_exceeded" at step "limits"
    And the error has a Retry-After header of at least 1 whole second

  Scenario: An adapter that is unavailable is refused with a time to come back
    When the public client requests an adapter without an engine
    Then it raises InternalServerError with status 503 and code "unavailable" at step "endpoints"
    And the error has a Retry-After header of at least 1 whole second

  Scenario: An engine that is lost ends a stream with an error, never as if it were whole
    When the public client streams 400 tokens and the only engine is killed after the first
    Then the stream raises APIError and no part has a finish reason
