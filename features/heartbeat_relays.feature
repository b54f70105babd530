Feature: Heartbeats of large fleets go through relays
  Generated histories in virtual time: datagrams are delayed, lost and overtake one another.

  # Guards against a fleet in which each daemon sends to each other.
  Scenario Outline: What a daemon sends at rest
    Given <daemons> daemons in <domains> failure domains
    When they run for 4 s
    Then each daemon takes all others as live
    And daemons that are no relays send at most 30 datagrams and 8 KB a second
    And the fleet sends at most <fleet> datagrams a second

    Examples:
      | daemons | domains | fleet |
      | 8       | 3       | 240   |
      | 64      | 3       | 1920  |
      | 195     | 5       | 5850  |

  # Guards against relays whose slow links lose the heartbeats of a whole failure domain:
  # 79 daemons, six of them with links of 100 Mbit/s, the others of 5.
  Scenario: Instances with fast and slow links
    Given 79 daemons in 3 failure domains, 2 of each with a link of 100 Mbit/s and the others of 5
    When they run for 4 s
    Then each daemon takes all others as live
    And the relays are the daemons with fast links
    And daemons that are no relays send at most 30 datagrams and 8 KB a second

  # Guards against two builds that choose different relays during a rolling update.
  Scenario: Daemons of an earlier build, which do not state their links
    Given 79 daemons in 3 failure domains, 2 of each with a link of 100 Mbit/s and the others of 5
    And a daemon of each failure domain is of a build that does not state its link
    When they run for 4 s
    Then each daemon takes all others as live
    And the relays are those of a fleet that states no links

  # Guards against adapters that are evicted in use, since their use is reported late.
  Scenario: The owner of an engine hears of requests in time
    Given 42 daemons in 3 failure domains
    When they run for 3 s and then one begins a request at an engine that another one owns
    Then the owner hears of it within 0.35 s
    And of its end within 0.35 s

  # Guards against heartbeats that aren't passed on, since a later one was for the relay only.
  Scenario: Relays own the engines that a daemon of another failure domain uses
    Given 42 daemons in 3 failure domains
    When they run for 3 s and then one uses engines of the relays of another domain for 6 s
    Then meanwhile no running daemon was taken as dead

  # Guards against the return of a daemon's former incarnation.
  Scenario: A relayed heartbeat of a former incarnation comes late
    Given 20 daemons in 3 failure domains
    When they run for 3 s and then a daemon has restarted and a relay sends its former heartbeat
    Then the former heartbeat changes nothing

  # Guards against daemons that stay in the lists of others after their end.
  Scenario Outline: Daemons are killed
    Given 42 daemons in 3 failure domains
    When they run for 3 s and then <killed> are killed
    Then 2.5 s later no daemon takes a dead one as live
    And meanwhile no running daemon was taken as dead

    Examples:
      | killed                         |
      | 3 daemons that are no relays   |
      | one relay of each domain       |
      | both relays of a domain        |
      | all relays                     |

  Scenario: A failure domain is lost
    Given 42 daemons in 3 failure domains
    When they run for 3 s and then a failure domain are killed
    Then 2.5 s later no daemon takes a dead one as live
    And meanwhile no running daemon was taken as dead

  # Guards against deaths that are declared because of lost datagrams.
  Scenario Outline: Datagrams are lost
    Given 42 daemons in 3 failure domains
    When a share of <loss> of all datagrams is lost for 10 s, seed <seed>
    Then meanwhile at most <wrong> of 10,000 views of a running daemon were wrong

    Examples:
      | loss | seed | wrong |
      | 0.05 | 1    | 1     |
      | 0.1  | 2    | 10    |
      | 0.1  | 3    | 10    |

  Scenario: A relay doesn't reach its domain, but is reached
    Given 42 daemons in 3 failure domains
    When they run for 3 s and then a relay's datagrams to its domain are lost
    Then meanwhile no daemon but that relay was taken as dead

  # Guards against old heartbeats that a relay delivers once it goes on.
  Scenario: A relay freezes and wakes
    Given 42 daemons in 3 failure domains
    When they run for 3 s and then a relay freezes, 2 daemons are killed, and it wakes 4 s later
    Then 0.5 s later no daemon takes a dead one as live
    And meanwhile no running daemon was taken as dead

  # Guards against a receiver that ends, or believes anything, at malformed datagrams.
  Scenario: Malformed datagrams
    Given 20 daemons in 3 failure domains
    When they run for 3 s and then malformed, cut, repeated and old datagrams come
    Then each daemon takes all others as live
    And no more than 100 rejections were logged by each

  # Guards against a rolling update that splits the fleet.
  Scenario: Daemons of an earlier build, which send to each and know no relays
    Given 42 daemons in 3 failure domains, half of an earlier build
    When they run for 3 s
    Then each daemon takes all others as live
