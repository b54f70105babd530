Feature: Endpoints whose records lapsed are used again when the records are back

  # Guards against an engine that lost the store for some seconds and gets no work for ten
  # minutes: the removal of its record was taken for an announcement to leave.
  Scenario Outline: A record lapses and is back, while another daemon still names it
    Given 2 daemons that read the records of 2 engines
    When the record of an engine lapses
    Then no daemon uses the engine after 2 s
    When the record is back
    Then all daemons use the engine after 2 s
    And they do so after a late heartbeat of <a daemon> that names the engine as leaving

    Examples:
      | a daemon                       |
      | a daemon of this release       |
      | a daemon of the former release |

  # Guards against requests to an engine that leaves: only a removal is taken back.
  Scenario Outline: An engine that announced its leave lapses and is back
    Given 2 daemons that read the records of 2 engines
    When an engine announces in <where> that it leaves
    And the record of an engine lapses
    And the record is back
    Then no daemon uses the engine after 2 s

    Examples:
      | where        |
      | its record   |
      | a response   |

  # Guards against a daemon that the store turns away and that is told of the removal only.
  Scenario: A daemon that the store turns away hears of a removal and of the return
    Given 2 daemons that read the records of 2 engines
    When the store turns one of them away
    And the record of an engine lapses
    Then no daemon uses the engine after 2 s
    When the record is back
    Then all daemons use the engine after 2 s

  # Guards against engines that are dropped as leaving at once: the restored store answers a
  # read beyond its end with 410, which looks like no outage.
  Scenario: The store is restored from a copy that is older than the engines
    Given 2 daemons that read the records of 2 engines
    When the store is restored from a copy that lacks the engines
    Then all daemons use the engine for 1 s
    When the record is back
    Then all daemons use the engine after 2 s
    And no daemon uses the other engine

  # Guards against daemons of two releases that can't read each other's heartbeats.
  Scenario: Daemons of the former release run beside this one
    Given 2 daemons that read the records of 2 engines
    When the record of an engine lapses
    Then a daemon of the former release reads in their heartbeats that the engine leaves
    And a heartbeat of the former release is read as one that names no removals
