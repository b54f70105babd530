Feature: Endpoints say in their responses that they leave or want no requests

  # Guards against requests to an engine that leaves while the store's record of it is late.
  Scenario: An engine's response says that it leaves
    Given a fleet of 2 daemons with 2 engines
    And adapters that both engines serve
    When one engine says in a response to the first daemon that it leaves
    Then 1 s later neither daemon sends requests to that engine or loads adapters there

  # Guards against requests that wait for a load though it was known that the engine with
  # their adapter leaves.
  Scenario: Adapters of an engine that leaves are loaded elsewhere before they are requested
    Given a fleet of 2 daemons with 2 engines
    And adapters that both engines serve
    When the store says that one engine leaves
    Then its adapters are loaded at the other engine within 3 s without a request
    And requests for all adapters are served there without another load

  # Guards against requests to an engine that has asked for none, from the queue, from
  # retries and from new callers alike.
  Scenario: A service asks for no requests for a time
    Given a fleet of 1 daemon with 1 engine
    And a second ledger
    When the ledger asks for no requests for 2 s while callers send 20 requests a second
    Then all callers are served and at most 2 requests reach it until the time is over
    And it gets requests again within 1 s of that time

  # Guards against polls, loads and reports that reach an engine which has asked for quiet.
  Scenario: An engine asks for no requests while an adapter is being loaded
    Given a fleet of 1 daemon with 1 engine
    When a load takes 1.5 s and the engine asks for no requests for 2 s meanwhile
    Then at most 2 orders reach it until the time is over
    And a stream with another adapter is served within 4 s of that time

  # Guards against callers that wait for endpoints which won't take a request.
  Scenario: All endpoints of a group ask for no requests
    Given a fleet of 1 daemon with 1 engine
    When the only ledger asks for no requests for 2 s
    Then the next request is refused within 0.2 s and told to return when it wants requests

  # Guards against values that would end a thread or silence an engine for good.
  Scenario: Header values that ask nothing
    Then generated header values are read without an error and ask for 120 s at most
