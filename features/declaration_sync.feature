Feature: Daemons exchange declarations that the store hasn't given them

  # Guards against adapter versions that are never exchanged: a digest that is equal for
  # different versions, such as their sum, hides that two daemons miss one another's.
  Scenario: Two daemons each know a newer version of another adapter
    Given daemon A with versions a1@2 and a2@1, and daemon B with a1@1 and a2@2
    When their heartbeats reach each other for 1 s
    Then both have versions a1@2 and a2@2

  # Guards against calls between daemons at each change: the store gives it to all of them.
  Scenario: A configuration that the store gives to all daemons isn't fetched from a daemon
    Given daemon A with configuration 5 and daemon B with configuration 3
    When the heartbeat of A reaches B and the store gives B configuration 5 at once
    Then after 1 s B has fetched nothing
