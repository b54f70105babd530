Feature: Daemons know within a bounded time whether they have the newest declarations

  # Guards against configurations that are late after any mix of outages, of lost polls and
  # of daemons that the store doesn't serve.
  Scenario: Generated disruptions of the store never delay a configuration beyond its bound
    Then in 100 generated histories each daemon has each configuration in time

  # Shows that the check above can fail: without confirmations, only polls bring changes.
  Scenario: Daemons that wait for their long polls alone have a configuration late
    Given 7 daemons that don't read again while a poll is pending
    When an outage of 6 s swallows their polls and a configuration is declared at its end
    Then daemons are found late

  # Guards against calls to the store that grow with the number of daemons.
  Scenario: On a calm day one daemon reads for all
    Given 80 daemons that read for 60 s without a disruption
    Then they have sent at most 6 calls a second
