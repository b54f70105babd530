Feature: The pages document error codes, state dumps, logs, settings and exit codes

  Scenario: Every error code stands on the protocols' page with its status and run state
    When each error class is compared with the protocols' page
    Then the page has each code once, with its status and run state, and no other

  Scenario: Every field of a daemon's dump and log stands on the operations' page
    Given a daemon that has answered, refused and lost requests
    Then each field of its dump is documented on the operations' page
    And each field of its log is documented on the operations' page

  Scenario: Every setting and exit code stands on the operations' page
    Then each setting of a daemon is documented on the operations' page
    And each exit code of the operators' command is documented on the operations' page

  Scenario: Every scenario that the proof names is there
    Then each feature that the proof's tables cite has the scenarios that they cite
