Feature: Entry daemons serve requests end to end on the users' platform

  Scenario: Streams are served under light load
    Given a fleet of 2 daemons with 2 engines
    When 20 streams with 6 adapters are requested
    Then each caller receives all events of its own stream
    And no engine was ordered to load beyond its capacity
    And engines received the workspace and never the key

  Scenario: Unknown keys and routes are refused
    Given a fleet of 1 daemon with 1 engine
    Then an unknown key gets 401 and an unknown route 404

  Scenario: A daemon without a configuration responds 503 and isn't ready
    Given a daemon without a configuration
    Then it responds 503 with a Retry-After header
    And its directory lists no daemon

  Scenario: A withdrawn key stops working
    Given a fleet of 1 daemon with 1 engine
    When the operator withdraws the key
    Then the key gets 401 within 2 s

  Scenario: A non-idempotent request that failed is never sent twice
    Given a fleet of 1 daemon with 1 engine
    When the ledger fails the next non-idempotent request
    Then the caller gets the failure and the request was executed once

  Scenario: An idempotent request that failed is retried once
    Given a fleet of 1 daemon with 1 engine
    And a second ledger
    When a ledger fails the next idempotent request
    Then the caller gets a response and the request was executed twice

  Scenario: A duplicate response without an id isn't taken for the next request's
    Given a fleet of 1 daemon with 1 engine
    When the ledger responds twice to each of 3 idempotent requests
    Then each caller gets its own response

  Scenario: A stream that may resume is resumed at another engine
    Given a fleet of 1 daemon with 2 engines
    When a stream that may resume is cut within its third event
    Then the caller gets every event once

  # Guards against cutting a stream because the first engine asked to resume it refused.
  Scenario Outline: A stream whose resumption fails is resumed at another engine
    Given a fleet of 1 daemon with 3 engines that may make 3 attempts
    When a stream that may resume is cut and its resumption fails with <failure>
    Then the caller gets every event once

    Examples:
      | failure    |
      | status 421 |
      | status 503 |
      | status 500 |

  # Guards against failing a stream that may run again before its first event was relayed.
  Scenario: A stream that may resume is run again if its first engine fails
    Given a fleet of 1 daemon with 2 engines
    When the first engine of a stream that may resume ends it with status 500
    Then the caller gets a whole stream

  Scenario: A stream that may not resume is cut and doesn't look complete
    Given a fleet of 1 daemon with 2 engines
    When a stream that may not resume is cut within its third event
    Then the caller sees that the stream is incomplete

  Scenario: Orders whose replies are lost don't overload an engine
    Given a fleet of 1 daemon with 1 engine
    When every third order gets no reply while 12 adapters are requested
    Then each stream is served
    And no engine was ordered to load beyond its capacity

  Scenario: Engines that hold an adapter load its new version
    Given a fleet of 1 daemon with 1 engine
    When a new version of a loaded adapter is declared
    Then the next request is executed with that version

  Scenario: A draining endpoint gets no more requests
    Given a fleet of 1 daemon with 2 engines
    When an engine reports that it is draining
    Then 2 s later it gets no more requests

  Scenario: A stopping daemon finishes running requests and those that still arrive
    Given a fleet of 2 daemons with 2 engines
    When a daemon is stopped while streams run
    Then no stream is cut
    And the other daemon's directory doesn't list it
    And it exits within 8 s

  Scenario: While the store is down, requests for loaded adapters are served
    Given a fleet of 2 daemons with 2 engines
    When the store is down
    Then both daemons serve streams with loaded adapters

  Scenario: An engine stops its work when the caller disconnects
    Given a fleet of 1 daemon with 1 engine
    When a caller disconnects from a slow stream
    Then the engine stops its work within half a second

  Scenario: A silent engine gets no new requests within a second
    Given a fleet of 1 daemon with 2 engines
    When an engine falls silent while it has requests
    Then all requests from a second later on are served by the other engine

  Scenario: A refused request's log record has its id
    Given a fleet of 1 daemon with 1 engine
    When a request is refused because no engine is left
    Then one log record has its id, step and cause

  # Guards against refusals that no log record explains.
  Scenario: A request without a route has a log record too
    Given a fleet of 1 daemon with 1 engine
    When a request is refused because no route matches
    Then one log record has its id, step "route" and status 404

  Scenario: The declared limits on callers' requests are enforced
    Given a fleet of 1 daemon with 1 engine
    Then a header of the declared size is served and a larger one gets 431
    And a body of the declared size is served and a larger one gets 413, also in chunks
    And a header that only mentions a transfer encoding is served
    And no request that was too large has reached an endpoint

  Scenario: Slow callers don't delay other callers
    Given a fleet of 1 daemon with 1 engine
    When 40 callers send a byte of a header every tenth of a second
    Then other callers are served meanwhile
    And the slow connections are closed within a second of the declared time

  Scenario: A request smuggled inside another one is not executed
    Given a fleet of 1 daemon with 1 engine
    When requests have two lengths, or a length and chunks
    Then the endpoint executes no smuggled request

  Scenario: A blocked standard output doesn't delay requests
    Given a fleet of 1 daemon with 1 engine whose standard output isn't read
    When more lines are logged than the output and the queue hold
    Then the next stream is served within 1 s and the dropped lines are counted
    And the daemon exits within 8 s of SIGTERM, its grace period

  Scenario: Invalid settings end the start with one line on standard error
    When an entry daemon starts with settings that lack the store's address
    Then one line names the field and the exit code is 2
