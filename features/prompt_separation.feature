Feature: Long prompts and short ones don't wait for one another

  # Guards against short prompts that wait behind long ones. The load is that of 317 drafts, 16
  # queued drafts and 8.5 digests a second on 30 engines; a digest takes 0.3 s to read.
  Scenario: Many short prompts beside a few long ones
    Given 30 engines that read 30.6 prompt tokens a ms
    When for 60 s 333 prompts of 646 tokens and 8.5 of 9190 tokens a second come
    Then at most 2 in 100 short prompts wait for over 0.1 s
    And at most 2 in 100 long prompts wait for over 1 s
    And without reserved engines more than 8 in 100 short prompts do

  # Guards against reserved engines at which long prompts pile up while others are free.
  Scenario: Long prompts come two and a half times as often
    Given 30 engines that read 30.6 prompt tokens a ms
    When for 60 s 333 prompts of 646 tokens and 21 of 9190 tokens a second come
    Then at most 6 engines are reserved
    And at most 5 in 100 long prompts wait for over 1 s
    And fewer short prompts wait for over 0.1 s than without reserved engines

  # Guards against a small group that loses a large part of its adapter slots.
  Scenario: A group of 5 engines
    Given 5 engines that read 38.1 prompt tokens a ms
    When for 30 s 83 prompts of 646 tokens and 1.8 of 9190 tokens a second come
    Then at most 0 engines are reserved

  # Guards against engines that change their purpose with each small change of demand.
  Scenario: Demand falls
    Given 30 engines of which 5 are reserved
    When the long prompts keep 2.8 engines busy, then 1.2
    Then first 5 and then 3 are reserved

  # Guards against daemons that reserve different engines.
  Scenario: Two daemons that know the engines in another order
    Given 30 engines that read 30.6 prompt tokens a ms
    Then both reserve the same 4 engines
    And of 29 engines at least 3 of them are still reserved
