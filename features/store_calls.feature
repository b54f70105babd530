Feature: Calls to the store are counted by purpose, and shared where one read answers for many

  # Guards against calls that are missing in the counts by which a deployment is measured.
  Scenario: Each call is counted by its purpose
    Given a store and a client that counts its calls
    When each kind of call is sent once and the store refuses one more read
    Then the counts equal the calls that the store received, by purpose
    And the counts are logged once until they change
