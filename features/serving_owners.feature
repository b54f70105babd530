Feature: Endpoints are served through their owners, also when owners fail

  Scenario: Many adapters on few adapter slots
    Given a serving fleet of 3 daemons with 2 engines of 3 adapter slots and 12 adapters
    When 8 callers send 80 completions of 20 tokens on all adapters through all daemons
    Then every response is complete or refused as not run, and at most 5 of 100 are refused with 503
    And no engine has evicted an adapter in use
    And the weight store had at most 2 loads in flight

  Scenario: The owner of an endpoint is killed while requests hold pins
    Given a serving fleet of 3 daemons with 2 engines of 3 adapter slots and 12 adapters
    And 3 streams of 250 tokens run on each engine through daemons that are not its owner
    When the owner of "engine-1" is killed and its membership expires
    And 8 callers send 80 completions of 20 tokens on all adapters through the other daemons
    Then the running streams complete
    And every response is complete or refused as not run
    And no engine has evicted an adapter in use

  Scenario: The owner of an endpoint is frozen while requests hold pins, and thawed
    Given a serving fleet of 3 daemons with 2 engines of 3 adapter slots and 12 adapters
    And 3 streams of 250 tokens run on each engine through daemons that are not its owner
    When the owner of "engine-1" is frozen, its membership expires and it is thawed
    And orders with the old fencing number to evict each idle adapter arrive late at both engines
    And 8 callers send 80 completions of 20 tokens on all adapters through the other daemons
    Then the running streams complete
    And every response is complete or refused as not run
    And the engine that checks fencing numbers has refused the late orders, the other one has applied them
    And no engine has evicted an adapter in use

  Scenario: Loads fail on one engine, then on all
    Given a serving fleet of 2 daemons with 2 engines of 3 adapter slots and 12 adapters
    When 1000 loads fail on the engine that ranks first for an adapter
    Then a completion with that adapter succeeds on the other engine
    When 1000 loads fail on every engine
    Then a completion with an adapter that is not resident is refused as not run with a retry delay
    When loads no longer fail
    Then the completion succeeds within 40 s

  Scenario: All engines restart cold under load
    Given a serving fleet of 2 daemons with 2 engines of 3 adapter slots and 12 adapters
    When 8 callers send 60 completions of 4 tokens on 6 adapters through all daemons
    And every serving engine restarts cold
    And 8 callers send 60 completions of 4 tokens on 6 adapters through all daemons
    Then every response is complete or refused as not run
    And the weight store had at most 2 loads in flight

  Scenario: An entry daemon is killed while it holds request slots
    Given a serving fleet of 2 daemons with 1 engine of 3 adapter slots and 1 adapter
    And an entry daemon that is not the owner holds every request slot of the engine for 6 s
    When that entry daemon is killed
    Then a completion through the owner succeeds within 12 s

  Scenario: A request that can't meet its deadline is refused at once
    Given a serving fleet of 1 daemons with 1 engine of 3 adapter slots and 1 adapter
    And every request slot was held for 3 s, is held again, and 14 more requests are queued
    Then a completion with 1 s left is refused as not run within half a second

  Scenario: A whole failure domain is lost at once
    Given a serving fleet of 6 daemons with 2 engines of 3 adapter slots and 12 adapters
    When both daemons of the failure domain with the owner of "engine-1" are killed at once
    And 8 callers send 80 completions of 20 tokens on all adapters through the other daemons
    Then every response is complete or refused as not run, and at most 5 of 100 are refused with 503
    And no engine has evicted an adapter in use
