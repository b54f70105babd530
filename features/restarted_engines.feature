Feature: Engines restart under their ids and addresses with another software version

  # Guards against streams that are joined from two versions, since a daemon that the store
  # turns away has the record of the engine before its restart.
  Scenario Outline: A daemon that the store turns away has an old record
    Given 2 daemons, of which the store turns the first one away, and engines of v1, v1
    When the first engine restarts as <versions>
    And 12 streams at the first daemon are broken off by their engines after 3 events
    Then no stream has events of two versions

    Examples:
      | versions |
      | v2       |
      | v2, v3   |

  # Guards against refusals where the version can be known: daemons in touch have read it.
  Scenario: Callers take streams up at a daemon in touch
    Given 2 daemons, of which the store turns the first one away, and engines of v1, v2, v2
    When the first engine restarts as v2
    And callers leave 12 streams at the first daemon after 3 events
    And they take them up at other daemons
    Then no stream has events of two versions
    And at least 10 of them go on

  # Guards against an engine that doesn't tell its start: nothing was sent, so others may serve.
  Scenario: An engine's reports have no end
    Given 2 daemons, of which the store turns the first one away, and engines of v1, v1
    When the first engine sends reports without an end
    And 6 streams at the first daemon are broken off by their engines after 9 events
    Then at least 6 of them go on
