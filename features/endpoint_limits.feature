Feature: Endpoints name the requests a second that they take from all daemons together

  # Guards against daemons that each send what all of them together may.
  Scenario: One of three engines names a limit of less than a request a second and daemon
    Given a fleet of 3 daemons with 3 engines
    And callers of all daemons send 24 streams a second
    When the busiest engine names a limit of 2.8 a second for 12 s
    Then from 3 s on it gets no more in 4 s than one and a half times that and 5
    And at least 0.98 of the callers are served

  # Guards against places of limited endpoints that stay empty while callers are refused, and
  # against callers that wait for an endpoint which surely won't take their request.
  Scenario: All engines name a limit
    Given a fleet of 3 daemons with 3 engines
    And callers of all daemons send 24 streams a second
    When all engines name a limit of 3 a second for 12 s
    Then from 3 s on each gets no more in 4 s than one and a half times that and 5
    And from 3 s on they get at least 0.9 of their limit
    And callers who can't be served are refused within 0.3 s and told when to return
    And within 3 s after the limit has ended at least 0.9 of the callers are served

  # Guards against a limit that holds for a slow trickle of requests only.
  Scenario: Engines name a limit of a seventh of what they get
    Given a fleet of 3 daemons with 3 engines
    And callers of all daemons send 60 streams a second
    When all engines name a limit of 3 a second for 12 s
    Then once it is known each gets no more in 4 s than one and a half times that and 5
    And from 3 s on they get at least 0.9 of their limit

  # Guards against the limit of a plain service, which has no adapters to ask an owner for.
  Scenario: A plain service names a limit
    Given a fleet of 3 daemons with 1 engine
    And callers of all daemons send 10 look-ups a second
    When the ledger names a limit of 2.5 a second for 10 s
    Then from 3 s on it gets no more in 4 s than one and a half times that and 5
    And from 3 s on they get at least 0.9 of their limit

  # Guards against a limit that only one daemon keeps count of: it may end or freeze.
  Scenario Outline: The daemon that counts an engine's requests is gone
    Given a fleet of 3 daemons with 3 engines
    And callers of all daemons send 24 streams a second
    When the busiest engine names a limit of 3 a second and its owner is <gone> for 4 s
    Then from 3 s on it gets no more in 4 s than one and a half times that and 5

    Examples:
      | gone    |
      | killed  |
      | stopped |

  # Guards against values that would end a thread, or stop all requests to an endpoint.
  Scenario: Limits that can't be read
    Given a fleet of 1 daemon with 1 engine
    When the ledger names limits that can't be read, one after the other
    Then all callers are served, and each header was logged once
    And generated limits are read without an error, and the least is 0.1 a second

  # Guards against bursts of many daemons with a small share each, and against calls to the
  # owner that grow with their number.
  Scenario Outline: Many daemons ask the owner of a limited endpoint for permits
    Given <daemons> daemons that all want to send 5 requests a second for 60 s
    When the owner grants permits for an endpoint that takes 2.8 a second
    Then no 4 s have more permits than one and a half times that and 5
    And at least 0.9 of the limit is granted with at most 3 calls a permit

    Examples:
      | daemons |
      | 8       |
      | 370     |

  # Guards against bursts while the owner can't be asked.
  Scenario Outline: Many daemons can't reach the owner of a limited endpoint
    Given <daemons> daemons that all want to send 5 requests a second for 60 s
    When each paces itself by its share of 2.8 a second
    Then no 4 s have more permits than one and a half times that and 5

    Examples:
      | daemons |
      | 8       |
      | 370     |

  # Guards against an old answer that ends a limit, or names one again that has ended.
  Scenario: Responses overtake each other
    When an endpoint's responses say, in this order of arrival
      | sent at | limit | known limit |
      | 10      | none  | none        |
      | 12      | 3     | 3           |
      | 11      | none  | 3           |
      | 13      | ?     | 3           |
      | 14      | none  | none        |
      | 13.5    | 3     | none        |
      | 15      | 0.5   | 0.5         |
    Then each time the limit is the one that is listed
    And a heartbeat whose statement is older changes nothing, and a newer one does
    And another incarnation of the endpoint has no limit
