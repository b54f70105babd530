Feature: Endpoints are served from their homes, also when these fail

  Scenario: Many adapters on few slots
    Given a serving fleet of 3 daemons with 2 engines of 3 slots and 12 adapters
    When 8 callers send 80 completions of 20 tokens on all adapters through all daemons
    Then every answer is whole or said to be not run, and at most 5 of 100 are not run
    And no engine has evicted an adapter in use
    And the weight store had at most 2 loads at once

  Scenario: The home of an endpoint is killed with pins held
    Given a serving fleet of 3 daemons with 2 engines of 3 slots and 12 adapters
    And 3 streams of 250 tokens run on each engine through daemons that are not its home
    When the home of "engine-1" is killed and its membership expires
    And 8 callers send 80 completions of 20 tokens on all adapters through the other daemons
    Then the running streams end whole
    And every answer is whole or said to be not run
    And no engine has evicted an adapter in use

  Scenario: The home of an endpoint freezes with pins held and thaws
    Given a serving fleet of 3 daemons with 2 engines of 3 slots and 12 adapters
    And 3 streams of 250 tokens run on each engine through daemons that are not its home
    When the home of "engine-1" freezes, its membership expires and it thaws
    And old orders to evict each idle adapter arrive late at both engines
    And 8 callers send 80 completions of 20 tokens on all adapters through the other daemons
    Then the running streams end whole
    And every answer is whole or said to be not run
    And the engine that checks fencing has refused the old orders, the other carried them out
    And no engine has evicted an adapter in use

  Scenario: Loads fail on one engine, then on all
    Given a serving fleet of 2 daemons with 2 engines of 3 slots and 12 adapters
    When 1000 loads fail on the engine that comes first for an adapter
    Then a completion on it ends whole on the other engine
    When 1000 loads fail on every engine
    Then a completion on a cold adapter is refused as not run with a time to come back
    When loads no longer fail
    Then the completion ends whole within 40 s

  Scenario: All engines restart cold under load
    Given a serving fleet of 2 daemons with 2 engines of 3 slots and 12 adapters
    When 8 callers send 60 completions of 4 tokens on 6 adapters through all daemons
    And every serving engine restarts cold
    And 8 callers send 60 completions of 4 tokens on 6 adapters through all daemons
    Then every answer is whole or said to be not run
    And the weight store had at most 2 loads at once

  Scenario: An entry daemon dies with slots held
    Given a serving fleet of 2 daemons with 1 engine of 3 slots and 1 adapter
    And an entry daemon that is not the home holds every place of the engine for 6 s
    When that entry daemon is killed
    Then a completion through the home ends whole within 12 s

  Scenario: What can't make its deadline is refused at once
    Given a serving fleet of 1 daemons with 1 engine of 3 slots and 1 adapter
    And every place was held for 3 s, is held again, and 14 more wait
    Then a completion with 1 s left is refused as not run within half a second

  Scenario: A whole failure domain is lost at once
    Given a serving fleet of 6 daemons with 2 engines of 3 slots and 12 adapters
    When both daemons of the failure domain with the owner of "engine-1" are killed at once
    And 8 callers send 80 completions of 20 tokens on all adapters through the other daemons
    Then every answer is whole or said to be not run, and at most 5 of 100 are not run
    And no engine has evicted an adapter in use
