Feature: Streams go on only at the software version that began them
  Engines of several versions serve side by side, with the same weights and adapters.

  # Guards against daemons that resume a broken stream at any engine with its adapter.
  Scenario: A daemon resumes streams that their engines break off
    Given a fleet of 3 daemons and engines of the versions v1, v1, v2, v2
    When 30 streams are broken off by their engines after 3 events
    Then no stream has events of two versions
    And at least 30 of them go on

  # Guards against daemons that know nothing of a stream that its caller takes up there.
  Scenario: Callers take streams up at other daemons
    Given a fleet of 3 daemons and engines of the versions v1, v1, v2, v2
    When callers leave 30 streams after 3 events and the engines that began them are busy
    And they take them up at other daemons
    Then no stream has events of two versions
    And at least 30 of them go on

  # Guards against knowledge of a stream that ends with the daemon that began it.
  Scenario: Callers take streams up after their daemon was killed
    Given a fleet of 4 daemons and engines of the versions v1, v1, v2, v2
    When 18 streams at one daemon have brought 3 events and it is killed
    And the engines that began them are busy as callers take the streams up at other daemons
    Then no stream has events of two versions
    And at least 18 of them go on

  # Guards against a guess where nothing tells which version began a stream.
  Scenario: A stream that no daemon knows
    Given a fleet of 2 daemons and engines of the versions v1, v2
    When a caller takes up a stream that no daemon knows
    Then it is refused within 0.5 s as not run

  Scenario: A stream that no daemon knows, and one version in service
    Given a fleet of 2 daemons and engines of the versions v1, v1
    When a caller takes up a stream that no daemon knows
    Then it goes on

  # Guards against a stream that goes on at another version since its own has gone.
  Scenario: No engine of the version that began a stream is left
    Given a fleet of 2 daemons and engines of the versions v1, v2
    When callers leave 6 streams after 3 events and the engines of v1 are gone from the store
    And they take them up at other daemons
    Then no stream has events of two versions
    And streams that began at v1 are refused within 0.5 s as not run

  # Guards against streams that can't be resumed after the time in which their first event was
  # wanted, since no daemon waits for an adapter any more.
  Scenario: A stream breaks long after its first event
    Given a fleet of 1 daemon and engines of the versions v1, v1
    When 2 streams of adapters that one engine has are broken off 1.5 s after their start
    Then no stream has events of two versions
    And at least 2 of them go on

  # Guards against knowledge of streams and versions that ends with the last daemon.
  Scenario: All daemons are killed while two versions serve
    Given a fleet of 3 daemons and engines of the versions v1, v1, v2, v2
    When callers leave 30 streams after 3 events and the engines that began them are busy
    And all daemons are killed, come back and the streams are taken up
    Then no stream has events of two versions
    And at least 27 of them go on

  Scenario: All daemons are killed after the engines of a version have gone
    Given a fleet of 3 daemons and engines of the versions v1, v1, v2, v2
    When callers leave 30 streams after 3 events and the engines of v1 are gone from the store
    And all daemons are killed, come back and the streams are taken up
    Then no stream has events of two versions
    And streams that began at v1 are refused within 0.5 s as not run

  Scenario: All daemons are killed after a version has joined the one of all streams
    Given a fleet of 3 daemons and engines of the versions v1, v1
    When callers leave 30 streams after 3 events and the engines that began them are busy
    And engines of the versions v2, v2 join
    And all daemons are killed, come back and the streams are taken up
    Then no stream has events of two versions
    And at least 27 of them go on

  # Guards against a version that joins while no daemon runs and is taken for the one of all streams.
  Scenario: A version joins the one of all streams while no daemon runs
    Given a fleet of 3 daemons and engines of the versions v1, v1
    When callers leave 30 streams after 3 events and the engines that began them are busy
    And all daemons are killed, engines of the versions v2, v2 join and the daemons come back
    And the streams are taken up
    Then no stream has events of two versions
    And at least 27 of them go on

  Scenario: Engines of another version replace all others while no daemon runs
    Given a fleet of 3 daemons and engines of the versions v1, v1
    When callers leave 30 streams after 3 events and the engines that began them are busy
    And all daemons are killed, engines of the versions v2, v2 replace all others and the daemons come back
    And the streams are taken up
    Then no stream has events of two versions
    And no stream goes on

  # Guards against a guess by a daemon that can't read what others have recorded.
  Scenario: The store is down as all daemons come back
    Given a fleet of 2 daemons and engines of the versions v1, v2
    When callers leave 6 streams after 3 events and the engines of v1 are gone from the store
    And all daemons are killed, come back without the records of streams and they are taken up
    Then no stream has events of two versions
    And no stream goes on

  # Guards against a guess where the store lost what was recorded last.
  Scenario: The store comes back from a copy as all daemons are killed
    Given a fleet of 2 daemons and engines of the versions v1, v2
    When a copy of the store is made between 12 streams that callers leave after 3 events
    And the store comes back from it without the engines of v1
    And all daemons are killed, come back and the streams are taken up
    Then no stream has events of two versions

  # Guards against a daemon that takes records for lost until it ends, once the store came back.
  Scenario: The store comes back from a copy, and later a daemon stands still
    Given a fleet of 2 daemons, a store that names its era and engines of the versions v1, v1
    When a daemon has read the records of streams and the store comes back from a copy
    And 18 streams at one daemon have brought 3 events and it stands still
    And callers take the streams up at other daemons
    Then no stream has events of two versions
    And at least 18 of them go on

  # Guards against a daemon that ends, or believes, a record of streams that can't be read.
  Scenario: Malformed records of streams
    Given a fleet of 2 daemons and engines of the versions v1, v1, v2, v2
    When malformed records of streams are in the store
    And callers leave 12 streams after 3 events and the engines that began them are busy
    And all daemons are killed, come back and the streams are taken up
    Then no stream has events of two versions
    And at least 10 of them go on
    And each daemon has logged at most 8 rejected records of streams

  # Guards against a daemon that takes the one version it knows for the only one, although engines
  # of another joined while it stood still or was cut off.
  Scenario Outline: A daemon <state> as engines of a new version join
    Given a daemon that has run for 60 s and knows one version
    When it <state>
    Then a stream that no daemon knows is refused, and one in the store goes on at its version
    And a second after it hears of the fleet again the only version counts

    Examples:
      | state                                   |
      | stands still for 3 s                    |
      | hears of no daemon for a second         |
      | is alone without the store for 3 s      |
      | hears of all daemons but one            |

  # Guards against streams that are in no record when all daemons are lost, since the daemon
  # that began them had not read of the new version that others knew.
  Scenario: Another daemon reads of a new version first
    Given a daemon that has run for 60 s and knows one version
    When it begins a stream, and another daemon tells it of a new version
    Then the stream is appended to the store at once
