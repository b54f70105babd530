Feature: The owner of an engine serves waiting requests in their order

  # Guards against a free adapter slot that goes to whoever wakes up first.
  Scenario: An adapter slot becomes free while requests of all kinds wait
    Given an engine of 1 adapter slot in use, for which an unhurried, a late and an urgent request wait
    When the slot becomes free 3 times
    Then the adapters are loaded in the order urgent, unhurried, late

  # Guards against a newcomer that is asked once and takes the slot of one that waits.
  Scenario: An adapter slot is free when an unhurried request comes
    Given an engine of 1 adapter slot in use, for which an urgent request waits
    When the slot becomes free as an unhurried request comes that doesn't wait
    Then the adapters are loaded in the order urgent

  # Guards against requests that lose their place to one that leaves at once.
  Scenario: The queue is full when an urgent request comes that doesn't wait
    Given an engine of 1 adapter slot in use, for which 32 unhurried requests wait
    When an urgent request comes that doesn't wait
    Then none of the others is refused

  # Guards against a turn for each of many requests that need the same load.
  Scenario: Many requests wait for one adapter
    Given an engine of 2 adapter slots in use, for which 3 requests for one adapter and an unhurried one wait
    When the slot becomes free 2 times
    Then one load begins for each adapter

  # Guards against a thread at the owner for each request of a long queue.
  Scenario: More requests come than the owner has room for
    Given an engine of 1 adapter slot in use, for which 40 urgent requests wait
    Then 8 of them are refused since the queue is full

  # Guards against a pace that counts the time in which nobody waited.
  Scenario: Requests wait after a minute without any
    Given an engine whose slots became free each 0.1 s while requests waited
    When 5 minutes pass in each of which one request comes and needn't wait
    Then the expected wait of the next one is still 0.1 s

  # Guards against a slot that the real owner gives by chance.
  Scenario: The owner of an engine with one adapter slot
    Given an engine of 1 adapter slot that a request uses
    When an unhurried and then an urgent request wait and the slot becomes free
    Then the urgent one gets its adapter first and the unhurried one afterwards

  # Guards against requests that are held although their deadline can't be met.
  Scenario: A request comes whose deadline its prompt alone would miss
    Given an engine of 1 adapter slot that a request uses
    Then a request whose deadline its prompt alone would miss is refused at once

  # Guards against requests that hang at an owner that has lost the engine.
  Scenario: The ownership of the engine ends while requests wait
    Given an engine of 1 adapter slot that a request uses
    When the ownership ends while an urgent request waits
    Then the request is refused at once as not run, and another owner may be asked

  # Guards against an upgrade in which one release's calls fail at the other.
  Scenario: A daemon of the former release calls an owner of this one
    Given an engine of 1 adapter slot that a request uses
    When a daemon of the former release asks its owner to wait 0.2 s for an adapter
    Then the reply is a refusal that the former release reads as one after the wait
    And once the slot is free the next such call gets version 1

  Scenario: A daemon of this release calls an owner of the former one
    Given an owner of the former release that doesn't load the adapter in time
    Then a call with the new fields is refused, and the wait is unknown

  # Guards against daemons of two releases that misread each other.
  Scenario: A daemon of the former release asks an owner, and an owner of it answers
    Then a call without the new fields counts as one of middle priority until the end of its wait
    And a call with them reads the same at an owner that knows them
    And a refusal without the new fields is no reason to give up
    And a refusal with them tells the wait, and whether waiting is useless
