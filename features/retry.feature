Feature: Generations survive their engine

  Scenario: The retry budget equals a naive count and holds its bound
    Then for generated requests and failures the retry budget equals a reference count

  Scenario: A caller gets each token once whatever the attempts bring
    Then for generated attempts each caller receives its own tokens once and in order

  Scenario: Engine killed under several streams
    Given a retrying fleet of 1 daemon and 2 engines with 6 streams of 80 tokens running
    When the engine that runs the most streams is killed
    Then every stream is complete with each token once

  Scenario: Engine restarted cold under several streams
    Given a retrying fleet of 1 daemon and 2 engines with 6 streams of 80 tokens running
    When every engine restarts cold
    Then every stream is complete with each token once

  Scenario: Answers of other requests are never passed on
    Given a retrying fleet of 1 daemon and 2 engines
    When the next token of every engine names another request
    Then a plain and a streamed completion of 20 tokens are complete and not mixed up

  Scenario: A caller that goes away ends the engine's work
    Given a retrying fleet of 1 daemon and 1 engine
    When a caller disconnects in the middle of a stream of 3000 tokens
    Then the engine receives a cancellation and soon runs no request

  Scenario: A failure before the first token is a JSON error with the true run state
    Given a retrying fleet of 1 daemon and 1 engine
    When the only engine is killed
    Then a streamed completion gets a JSON error with the run state not_run and status 503

  Scenario: A request lost on a kept connection is not said to be not run
    Given a peer that responds once, then drops a request and stops listening
    Then the client's second request ends with the run state "unknown"

  Scenario: An endpoint whose orders fail is avoided by the next attempts
    Then a generation whose slots fail on one of two endpoints ends on the other

  Scenario: Only a suspect asks to run alone
    Then a generation requests to run alone only if it is a suspect
