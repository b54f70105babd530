Feature: Bytes that never make an answer are given up at a limit on bytes and on time

  # Guards against an owner that waits for one engine's report or order for good.
  Scenario: An engine answers orders and reads of its report without an end
    Then every kind of endless report is given up within 0.9 s and of endless order within 1.2 s

  # Guards against a daemon that takes no more configurations because a read of the store
  # doesn't end, or ends because of its size.
  Scenario: The store answers reads without an end
    Then every kind of endless answer of the store is given up within 2 s

  # Guards against a read of pages that goes on for good.
  Scenario: The store announces another page for ever
    Then a read of endless pages is given up within 4 s
