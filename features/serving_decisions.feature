Feature: Queue, placement and loads decide as naive versions of them

  Scenario: The queue has the same order as a plain list, seed 501
    Then the fair queue and a plain list agree over generated histories

  Scenario: Normal requests and small workspaces are not starved, seed 502
    Then waiting workspaces get equal cost within two requests, and normal requests make progress

  Scenario: An owner never evicts a needed adapter and stays within its bounds, seed 503
    Then an endpoint's owner keeps its invariants over generated histories

  Scenario: The victim is the adapter with the least decayed frequency, seed 504
    Then the evicted adapter is the one that a sum over all requests finds

  Scenario: The budget of loads limits and orders loads as a naive version, seed 505
    Then the load budget and a naive version agree over generated histories

  Scenario: No workspace gets too far ahead of its share of the loads, seed 506
    Then the shares of the loads and a naive version agree over generated histories

  Scenario: A workspace of cold adapters does not use up the loads of the others
    Given a workspace that requests 200 cold adapters and one that requests 1 every 4 s
    Then each load of the small workspace is granted within 4 s and the store is busy

  Scenario: A workspace of cold adapters without saved credit waits for the others
    Given a workspace that requests 200 cold adapters and one that requests 1 every 4 s
    Then each later load of the small workspace is granted within 2 s

  Scenario: Two workspaces of cold adapters do not use up the loads of a third
    Given 2 workspaces that request 200 cold adapters and one that requests 1 every 4 s
    Then each load of the small workspace is granted within 4 s and the store is busy

  Scenario: A load whose report is lost does not count for ever
    Given a granted load whose endpoint never reports again
    Then the load counts against the budget until its lifetime has ended

  Scenario: Requests spread over one copy more while owners report that they are busy
    Then the copies of an adapter grow with each busy owner and shrink with time

  Scenario: The knee estimated from measured times is that of a naive version, seed 507
    Then the knee and a naive version agree over generated samples

  Scenario: The knee is estimated in spite of noise, seed 508
    Then the estimate for a noisy engine reaches any knee within the bounds

  Scenario: The popularity clock agrees with a naive version, seed 509
    Then the popularity clock and a naive version agree over generated hits

  Scenario: A shift of popularity is detected, seed 510
    Then a shift is detected soon, and steady popularity rarely counts as one

  Scenario: An adapter loaded again after a crash is used at once
    Given an engine that crashed while a request ran and has loaded the adapter again
    Then the next request for it runs at once, before the engine reports

  Scenario: A cold restart does not count as a shift of popularity
    Given an engine whose slots are empty after a cold restart
    Then misses while it fills them do not count as a shift of popularity
