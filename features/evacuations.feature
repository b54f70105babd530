Feature: Endpoints of evacuated failure domains get no requests

  # Guards against daemons that ignore the operators' record, hold on to it after its
  # removal, or send to an evacuated domain for want of another.
  Scenario: A failure domain is evacuated, and later the last one too
    Given a fleet of 2 daemons with a ledger in each of the domains a and b
    And callers send 20 look-ups a second to both daemons
    When domain b is evacuated
    Then all callers are served, and from 5 s on no request reaches domain b
    When domain a is evacuated too
    Then from 5 s on no request reaches a ledger, and callers are refused within 0.3 s
    When both records are removed
    Then within 3 s both ledgers get requests again

  # Guards against an evacuation that ends at a daemon that the store turns away, as it
  # restarts or hears of a peer that has read less.
  Scenario: Daemons read the store at different times
    When daemons read the store and hear of each other as follows
      | step                     | A    | B    |
      | A reads evacuate b at 5  | b    | none |
      | B hears A                | b    | b    |
      | A reads removal of b at 7 | none | b    |
      | A hears B                | none | b    |
      | B hears A                | none | none |
      | B reads evacuate b at 6  | none | none |
      | A restarts               | none | none |
      | A reads all at 8         | none | none |
      | B reads evacuate a at 9  | none | a    |
      | A hears B                | a    | a    |
      | A restarts               | none | a    |
      | A hears B                | a    | a    |
      | A reads all at 8         | a    | a    |
    Then each time they know the evacuated domains that are listed

  # Guards against an evacuation that a restore of the store ends, and against one that
  # nobody can end since its record was lost.
  Scenario: The store is restored from a copy without the record
    When daemons read the store and hear of each other as follows
      | step                                | A    | B    |
      | A reads evacuate b at 5             | b    | none |
      | B hears A                           | b    | b    |
      | A reads all at 3 of the next era    | b    | b    |
      | A hears B                           | b    | b    |
      | A reads evacuate a at 4 of the next era | a,b | b   |
      | B hears A                           | a,b  | a,b  |
      | A reads removal of b at 5 of the next era | a | a,b |
      | B hears A                           | a    | a    |
    Then each time they know the evacuated domains that are listed

  # Guards against a daemon that was cut off before a domain's evacuation ended, and brings
  # it back into the era after a restore.
  Scenario: A daemon that missed the end of an evacuation hears of a restore
    When daemons read the store and hear of each other as follows
      | step                             | A    | B    |
      | A reads evacuate b at 5          | b    | none |
      | B hears A                        | b    | b    |
      | A reads removal of b at 7        | none | b    |
      | A reads all at 6 of the next era | none | b    |
      | A hears B                        | none | b    |
      | B hears A                        | none | none |
    Then each time they know the evacuated domains that are listed
