Feature: What the store's records tell about the software versions that served lately
  Daemons record which versions they have seen; others read it after all of those were lost.

  # Guards against a version that joined after all streams were begun and is taken for theirs.
  Scenario: All daemons were lost, and those that run now know another version besides
    Given a log in which daemon a has seen v1
    When daemon b starts and has seen v1 before it and v2
    Then a stream of a daemon that isn't live began at v1

  # Guards against versions that are kept for good, so that streams are refused for good.
  Scenario: A version that has gone is forgotten
    Given a log in which daemon a has seen v1
    When no record comes for 31 s
    Then a stream of a daemon that isn't live began at none

  # Guards against an old record that counts as new when it is first read.
  Scenario: An old record is read late
    Given a log in which daemon a has seen v0
    When daemon b records v1 from 0 s to 40 s on its clock
    And daemon c records v1
    Then a stream of a daemon that isn't live began at v1

  Scenario: A version that had gone when it was recorded
    Given a log in which daemon a has v1 and saw v0 25 s before
    When no record comes for 6 s
    Then a stream of a daemon that isn't live began at v1

  # Guards against a daemon that knows a single version and is taken for one that tells of its streams.
  Scenario: A live daemon knows one version only
    Given a log in which daemon a has seen v1
    When daemon b starts and knows v2 only
    Then a stream of a daemon that isn't live began at v1
    And a stream of a live daemon may have begun at v2

  # Guards against records that are applied again as the log is read again in a new era.
  Scenario: The log is read again
    Given a log in which daemon a has seen v0
    When daemon b records v1 from 0 s to 40 s on its clock
    And the log is read again
    Then a stream of a daemon that isn't live began at none

  # Guards against records that count as lost although their writers have recorded all again.
  Scenario: The store comes back from a copy
    Given a log in which daemon a has seen v1
    When the store comes back from a copy
    Then records may be missing
    And none may be if daemon a is live
    When daemon a records v1 again
    Then no record is missing

  Scenario: A daemon is lost before it can record again
    Given a log in which daemon a has seen v1
    When the store comes back from a copy
    And no record comes for 31 s
    Then no record is missing

  # Guards against builds that can't read each other's records while both run.
  Scenario: The former landing's records
    Given a log with a record of the former landing on a stream at v1
    Then the stream is known to have begun at v1
    And a stream of a daemon that isn't live began at v1

  Scenario: The former landing reads the records and heartbeats of this one
    Given a daemon that has seen v1 and v2 and begun a stream at v2
    When it appends to the log
    Then the former landing reads both versions, and that the stream began at v2
    And it reads a heartbeat of this build, and this build one of the former landing

  # Guards against a caller's request that fails as another one reads new records.
  Scenario: Records are applied while versions are asked for
    Then versions can be asked for while 20000 records of 200 daemons are applied
