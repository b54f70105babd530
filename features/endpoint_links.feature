Feature: Daemons lose their links to all endpoints, and others still reach them

  # Guards against callers of a daemon without links to endpoints who aren't served, although
  # other daemons reach the endpoints, and against its time-outs taken for crashes elsewhere.
  Scenario Outline: Links are lost (<form>) at <cut> of <daemons> daemons, with <bodies> bodies
    Given a fleet of <daemons> daemons and 3 engines whose links can be cut
    And callers of each daemon send requests with <bodies> bodies
    When <cut> daemons lose their links to all endpoints for 8 s: <form>
    Then from 3 s on first tries are served there at least two thirds as often as elsewhere
    And callers of the other daemons are served all the while
    And no request has run twice that may run once, and none that was refused

    Examples:
      | form  | cut | daemons | bodies |
      | reset | 1   | 4       | own    |
      | hang  | 1   | 4       | own    |
      | live  | 1   | 4       | own    |
      | hang  | 1   | 4       | same   |
      | reset | 1   | 4       | same   |
      | reset | 3   | 4       | own    |
      | hang  | 3   | 4       | own    |

  # Guards against requests that are quarantined at all daemons since their daemon lost its links.
  Scenario Outline: A daemon that loses its links (<form>) takes no endpoint for crashed
    Given a fleet of 2 daemons and 3 engines whose links can be cut
    And callers of each daemon send requests with same bodies
    When 1 daemon loses its links for 2 s, 3 times: <form>
    Then no daemon has recorded a crash, and no request was quarantined

    Examples:
      | form  |
      | reset |
      | hang  |

  # Guards against engines that nobody can order while their owner has no links to them.
  Scenario Outline: An engine's owner loses its links (<form>)
    Given a fleet of 3 daemons and 1 engine whose links can be cut
    When the owner of the engine loses its links to all endpoints for 6 s: <form>
    Then from 3 s on requests for adapters that must be loaded are served at each daemon

    Examples:
      | form  |
      | reset |
      | hang  |

  # Guards against waits for endpoints that no daemon reaches.
  Scenario Outline: All daemons lose their links (<form>)
    Given a fleet of 2 daemons and 2 engines whose links can be cut
    And callers of each daemon send requests with own bodies
    When 2 daemons lose their links to all endpoints for 6 s: <form>
    Then from 3 s on callers are refused within 0.3 s and told when to return
    And within 3 s after the cut callers of all daemons are served

    Examples:
      | form  |
      | reset |
      | hang  |

  # Guards against cuts that come and go faster than daemons react, and a daemon's start in one.
  Scenario: Links are lost again and again, and a daemon starts without links
    Given a fleet of 3 daemons and 2 engines whose links can be cut
    And callers of each daemon send requests with own bodies
    When 1 daemon loses its links for 0.7 s, 6 times: reset
    And a daemon is killed and starts while its links to all endpoints are cut
    Then from 3 s after its start first tries are served there as elsewhere
    And no request has run twice that may run once, and none that was refused

  # Guards against an endpoint that is taken for crashed since links came back in between.
  Scenario: A daemon's links come back while it looks whether an endpoint crashed
    Given an endpoint that broke off and can't be reached at first
    When another endpoint is reached, and then the endpoint itself
    Then no crash is recorded
