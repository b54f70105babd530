Feature: Calls to the store are counted by purpose, and shared where one read answers for many

  # Guards against calls that are missing in the counts by which a deployment is measured.
  Scenario: Each call is counted by its purpose
    Given a store and a client that counts its calls
    When each kind of call is sent once and the store refuses one more read
    Then the counts equal the calls that the store received, by purpose
    And the counts are logged once until they change

  # Guards against calls that grow with the number of daemons: 79 daemons that each read the
  # endpoints for themselves send 60 a second, and 1,000 in the time from their start to the
  # start of traffic.
  Scenario: 79 daemons start within 0.3 s and follow 34 endpoints
    Given 79 daemons in 3 failure domains and 34 endpoints, not started
    When all daemons start within 0.3 s
    Then 1 s later all daemons know all endpoints
    And in 16 s they have sent at most 200 calls
    When they follow them for 5 s more
    Then they read at most 8 times a second

  # Shows that the check above can fail.
  Scenario: 79 daemons that share no reads
    Given 79 daemons in 3 failure domains and 34 endpoints, not started
    And each daemon reads for itself
    When all daemons start within 0.3 s
    Then in 4 s they have sent more than 200 calls

  # Guards against daemons that wait for others which have nothing to tell either.
  Scenario: All 79 daemons are lost at once and start again
    Given 79 daemons in 3 failure domains and 34 endpoints
    When all daemons start again within 0.3 s
    Then 1 s later all daemons know all endpoints
    And in 4 s they have sent at most 130 calls

  # Guards against requests to an endpoint that leaves, later than 2 s after the store's
  # acknowledgement, since the daemon that reads for others tells them nothing.
  Scenario Outline: An endpoint leaves (<readers>: <fail>)
    Given 42 daemons in 3 failure domains and 10 endpoints
    When <readers>: <fail>, and an endpoint is marked as leaving
    Then 2 s later no running daemon sends requests there
    When an endpoint restarts with another software version
    Then 2 s later all running daemons know that

    Examples:
      | readers     | fail                      |
      | one reader  | dies                      |
      | one reader  | freezes                   |
      | one reader  | is turned away            |
      | one reader  | gets no answers           |
      | all readers | die                       |
      | all readers | freeze                    |
      | all readers | get no answers            |
      | a domain    | is turned away            |
      | all daemons | lose a fifth of datagrams |

  # Guards against endpoints that are dropped because their records lapsed while the store was
  # away, and against refused calls of all daemons at once.
  Scenario: The store is away for 6 s
    Given 42 daemons in 3 failure domains and 10 endpoints
    When the store is down for 6 s and an endpoint ends meanwhile
    Then meanwhile at most 40 calls a second were refused
    And 2 s after its return all daemons know all other endpoints, and none has missed one
    And 5 s after its return no running daemon sends requests to the ended endpoint

  # Guards against endpoints that registered after the copy was made and are dropped, and
  # against daemons that compare positions of two eras.
  Scenario: The store is restored from a copy that is 4 s older
    Given 42 daemons in 3 failure domains and 10 endpoints
    When the store is restored from a copy that is 4 s older and lacks an endpoint
    Then 4 s later all daemons know all endpoints, and none has missed one

  # Guards against daemons of an earlier build that are taken for readers, as they read on for
  # themselves and tell nothing.
  Scenario: Half of the daemons are of an earlier build
    Given 42 daemons in 3 failure domains and 10 endpoints
    And half of them say nothing of their reads
    When an endpoint is marked as leaving
    Then 2 s later no running daemon sends requests there

  # Guards against a heartbeat that ends the receiver's thread or is taken at its word.
  Scenario: A daemon's heartbeats carry reads that can't be
    Given 42 daemons in 3 failure domains and 10 endpoints
    And one daemon sends reads that can't be
    When an endpoint is marked as leaving
    Then 2 s later no running daemon sends requests there
    And no running daemon has lost a peer

  # Guards against joins at each of many changes: each daemon that starts brings a new
  # generation, of which all others hear. A daemon's joins in 2 s at rest are 3.
  Scenario: 79 daemons join their group within 0.3 s
    Given 79 daemons that join a group of 12 partitions within 0.3 s
    Then 0.5 s after the last one started each partition has one owner
    And each daemon has joined at most 10 times in the 2 s from the first start on

  # Shows that the check above can fail.
  Scenario: 79 daemons confirm each change at once
    Given daemons that join at each change
    And 79 daemons that join a group of 12 partitions within 0.3 s
    Then some daemons have joined more than 10 times in the 2 s from the first start on

  # Guards against reads of the list of daemons that grow with their number.
  Scenario Outline: <daemons> daemons read their list every <interval> s
    Then the list of <daemons> daemons is read every <interval> s by each

    Examples:
      | daemons | interval |
      | 8       | 30       |
      | 80      | 120      |
