Feature: Generations survive their engine

  Scenario: The retry budget equals a naive count and holds its bound
    Then over generated requests and failures the retry budget equals the naive one

  Scenario: A caller gets each token once whatever the attempts bring
    Then over generated attempts each caller gets its own tokens once and in order

  Scenario: Engine killed under several streams
    Given a retrying fleet of 1 daemon and 2 engines with 6 streams of 80 tokens running
    When the engine that runs the most streams is killed
    Then every stream ends whole with each token once

  Scenario: Engine restarted cold under several streams
    Given a retrying fleet of 1 daemon and 2 engines with 6 streams of 80 tokens running
    When every engine restarts cold
    Then every stream ends whole with each token once

  Scenario: Answers of other requests are never passed on
    Given a retrying fleet of 1 daemon and 2 engines
    When the next token of every engine names another request
    Then a plain and a streamed completion of 20 tokens are whole and their own

  Scenario: A caller that goes away ends the engine's work
    Given a retrying fleet of 1 daemon and 1 engine
    When a caller goes away in the middle of a stream of 3000 tokens
    Then the engine soon runs nothing and was told to cancel

  Scenario: A failure before the first token is a JSON error with the true run state
    Given a retrying fleet of 1 daemon and 1 engine
    When the only engine is killed
    Then a streamed completion gets a JSON error as not run with status 503

  Scenario: A request lost on a kept connection is not said to be not run
    Given a peer that answers once, then drops a request and stops listening
    Then the client's second request ends with the run state "unknown"

  Scenario: An endpoint whose orders fail is avoided by the next attempts
    Then a run whose slots fail on one of two endpoints ends on the other

  Scenario: Only a suspect asks to run alone
    Then a run asks to be alone when it is a suspect and else not
