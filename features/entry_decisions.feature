Feature: Decisions of the entry daemon, without network

  Scenario: Plans made before a report would overload an engine
    Given an engine with 4 places that are all taken
    When two adapters are asked for and the engine reports another one on its way
    Then no plan loads beyond the places

  Scenario: An adapter that was granted stays until its use has been heard of
    Given an engine with 4 places that are all taken
    When one of them is granted
    Then it is not evicted before the next beat tells of its request

  Scenario: An adapter in use is never evicted
    Given an engine with 4 places that are all taken
    When requests use all of them
    Then a fifth adapter has to wait

  Scenario: A leaving adapter keeps its place until its requests have ended
    Given an engine with 4 places that are all taken
    When one leaves that a request still uses
    Then its place is free only after the request has ended

  Scenario: Rare models at once on full engines: a place that gets free by time is found
    Given an engine of 1 place that a request uses
    When its request has ended and the next one waits for another adapter
    Then that is loaded as soon as the first one is no longer kept

  Scenario: Rare models while answers are lost: an evicted adapter is not loaded by a late question
    Given an engine of 2 places that has loaded an adapter, of which its home asks again
    When a report shows the adapter and it is evicted before the question is sent
    Then the engine is not asked to load it again

  Scenario: Rare models while answers are lost: a slow question holds up no other load
    Given an engine of 16 places that answers questions on loads after 0.5 s
    When requests for 4 adapters come one after the other
    Then all loads have begun

  Scenario: Rare models at once: no more loads begin than an engine fetches at a time
    Given an engine with 16 places that are all free
    When 10 adapters are asked for at once
    Then 4 loads begin and the others wait

  Scenario: Demand moves on: the adapter that nobody asks for any more leaves first
    Given an engine with 4 places that are all taken
    When the favourite of a minute ago is asked for no more and the others are
    Then the former favourite is evicted

  Scenario: Generated histories of places never exceed the engine
    Then in generated histories no engine has more adapters than places

  Scenario: One tenant sends many times its rate
    Given a workspace with a rate of 1000 and a burst of 4000 before 7 daemons
    When it sends 8 times its rate for 20 s
    Then no window of 8 s admits more than rate, burst and the stated slack
    And nearly all that its rate and burst allow is admitted

  Scenario: A daemon that is cut off admits only its own share
    Given a workspace with a rate of 1000 and a burst of 4000 before 7 daemons
    When one daemon gets no heartbeats for 8 s while all get 8 times the rate
    Then no window of 8 s admits more than rate, burst and the stated slack

  Scenario: A failing endpoint with good health gets few requests
    Given 3 equal endpoints of which one fails half of its responses
    When 600 requests are sent
    Then the failing one gets less than a fifth of its even share

  Scenario: A failing endpoint that recovers gets requests again
    Given 3 equal endpoints of which one fails half of its responses
    When 600 requests are sent
    And it no longer fails and 2000 requests are sent
    Then it gets at least half of its even share of the last 500

  Scenario: A popular adapter spreads when its engine is overloaded
    Given 5 engines of which one holds an adapter
    Then its requests go there while it is not overloaded
    And to another engine when it is overloaded

  Scenario: Rare models at once: unneeded copies don't keep adapter slots
    Given 5 engines that all hold an adapter
    Then all its requests go to one of them while that is not overloaded

  Scenario: Engines fail with good health: their adapters are loaded elsewhere
    Given 5 engines of which one holds an adapter
    Then its requests go to another engine while that one fails

  Scenario: An adapter that no engine holds goes to an engine with a free adapter slot
    Given 5 engines of which one holds an adapter
    Then a cold adapter goes to its first engine with a free adapter slot

  Scenario: The retry budget holds for the whole fleet
    Then in generated histories 7 daemons stay within the stated retry budget

  Scenario: A home that lost an engine and got it back waits a lease before it orders
    Given a daemon that has ordered an engine
    When it loses the engine and gets it back after 1 s
    Then it orders nothing for the rest of the lease

  Scenario: Rolling start: engines get their homes while daemons join one after the other
    Given a group of 5 daemons that has dealt its engines out
    When 3 daemons more start one after the other
    Then each engine has one home within 0.5 s
    And a calm second takes no more joins than the lease needs
    And beats of a generation that the store has taken back prompt one join each

  Scenario: Restart of all: engines get their homes while all daemons join at once
    When all daemons start within a tenth of a second
    Then each engine has one home within 0.5 s

  Scenario: Two daemons claim an engine
    Then the claim of the higher generation counts

  Scenario: Events are passed on whole
    Then a stream in generated pieces gives the same bytes and only whole events

  Scenario: Records of another writer name no endpoint
    Then each broken entry of an endpoint is rejected with a reason
    And a sound one is decoded

  Scenario: An operator's configuration is decoded
    Then routes, shares, quotas and the longest prefix are as declared

  Scenario: A request that has ended can't break the next one on its connection
    Given an endpoint that keeps its connections
    When a request's end is noticed after its connection carries the next one
    Then the next one is answered
