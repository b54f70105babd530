Feature: Decisions of the entry daemon, without network

  Scenario: Plans made before a report would overload an engine
    Given an engine with 4 adapter slots that are all taken
    When two adapters are requested and the engine reports that it loads another one
    Then no plan loads more adapters than there are slots

  Scenario: An adapter that was pinned stays until a heartbeat has reported its use
    Given an engine with 4 adapter slots that are all taken
    When one of the adapters is pinned
    Then it is not evicted before the next heartbeat reports its request

  Scenario: An adapter in use is never evicted
    Given an engine with 4 adapter slots that are all taken
    When requests use all of the adapters
    Then a fifth adapter has to wait

  Scenario: An adapter that is being unloaded keeps its slot until its requests have ended
    Given an engine with 4 adapter slots that are all taken
    When an adapter is unloaded that a request still uses
    Then its slot is free only after the request has ended

  Scenario: Rare models at once on full engines: a slot is found whose pin expires
    Given an engine of 1 adapter slot that a request uses
    When its request has ended and the next one waits for another adapter
    Then that is loaded as soon as the first one is no longer pinned

  Scenario: Rare models while responses are lost: a late poll doesn't load an evicted adapter
    Given an engine of 2 adapter slots that has loaded an adapter, whose load its owner polls
    When a report shows the adapter and it is evicted before the poll is sent
    Then the engine is not ordered to load it again

  Scenario: Rare models while responses are lost: a slow poll delays no other load
    Given an engine of 16 adapter slots that answers polls of loads after 0.5 s
    When requests for 4 adapters come one after the other
    Then all loads have begun

  Scenario: Rare models at once: no more loads begin than an engine executes at a time
    Given an engine with 16 adapter slots that are all free
    When 10 adapters are requested at once
    Then 4 loads begin and the others wait

  Scenario: Demand moves on: the adapter that is no longer requested is evicted first
    Given an engine with 4 adapter slots that are all taken
    When the adapter most requested a minute ago is requested no more and the others are
    Then the formerly most requested adapter is evicted

  Scenario: Generated histories of adapter slots never exceed the engine
    Then in generated histories no engine has more adapters than slots

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

  # Guards against an engine whose leave makes others load more than they can at a time.
  Scenario: An engine with many adapters leaves: others load within their limits
    Given 5 engines that have 0 to 9 free adapter slots
    When an engine with 60 popular adapters leaves
    Then each engine is asked for 4 loads at most, and for no more than it has free slots
    And for no adapter that one of them has

  # Guards against popular adapters that are evicted for those of an engine that leaves.
  Scenario: An engine leaves while the others are full of popular adapters
    Given an engine of 3 adapter slots of which 2 hold adapters that were requested lately
    When 3 adapters of another engine are prepared there one after the other
    Then one is loaded and the popular ones stay

  # Guards against a service that never gets a request, since another answers in less time
  # than is assumed of it.
  Scenario: A service that hasn't answered yet is tried soon
    Given a service that answers in 0.5 ms and one that hasn't answered yet
    Then the next request is sent to the latter

  Scenario: The retry budget holds for the whole fleet
    Then in generated histories 7 daemons stay within the stated retry budget

  Scenario: An owner that regains an engine waits for a lease before it gives orders
    Given a daemon that has given an engine an order
    When it loses the engine and regains it after 1 s
    Then it gives no orders for the rest of the lease

  Scenario: Rolling start: engines get their owners while daemons join one after the other
    Given a group of 5 daemons to which all engines are assigned
    When 3 daemons more start one after the other
    Then each engine has one owner within 0.5 s
    And a second without changes takes no more joins than the lease needs
    And heartbeats of a generation that the store has taken back prompt one join each

  Scenario: Restart of all: engines get their owners while all daemons join at once
    When all daemons start within a tenth of a second
    Then each engine has one owner within 0.5 s

  Scenario: Two daemons claim an engine
    Then the claim with the higher generation is valid

  # Guards against calling a whole stream broken, or a broken one whole.
  Scenario: A stream's end inside an event is recognised
    Then a stream that ends at any byte is inside an event unless its events are complete

  Scenario: Only complete events are relayed
    Then a stream split at generated points yields the same bytes and only complete events

  Scenario: Invalid records of endpoints are rejected
    Then each invalid record of an endpoint is rejected with a reason
    And a valid one is decoded

  Scenario: An operator's configuration is decoded
    Then routes, weights, quotas and the longest prefix are as declared

  Scenario: A late abort of a finished request doesn't break the next one on its connection
    Given an endpoint that keeps its connections open
    When a request is aborted after its connection carries the next one
    Then the next one gets its response
