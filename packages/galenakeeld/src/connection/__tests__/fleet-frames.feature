Feature: Delayed messages between daemons are detected and malformed frames are rejected

  Scenario: Messages that arrive in time are not delayed
    Given messages sent at "0, 100, 200, 300" ms by the sender's clock
    When they arrive at "5000, 5100, 5230, 5301" ms by the receiver's clock
    Then "none" of them are delayed

  Scenario: Messages held back by a network partition are delayed when it heals
    Given messages sent at "0, 100, 200, 300" ms by the sender's clock
    When they arrive at "5000, 5100, 11000, 11000" ms by the receiver's clock
    Then "3, 4" of them are delayed

  Scenario: Clocks that drift apart in the course of hours delay nothing
    Given messages sent each 3 s for 3 hours by the sender's clock
    When they arrive by a receiver's clock that is faster by 100 parts in a million
    Then "none" of them are delayed

  Scenario: Messages held back for minutes are delayed
    Given messages sent at "0, 3000, 6000, 9000, 12000, 15000" ms by the sender's clock
    When they arrive at "5000, 8000, 311000, 311000, 311000, 311000" ms by the receiver's clock
    Then "3, 4, 5, 6" of them are delayed

  Scenario: Malformed frames are rejected and messages of unknown kinds are skipped
    Then the frame '[]' is rejected
    And the frame 'null' is rejected
    And the frame 'no JSON' is rejected
    And the frame '{"messages":[]}' is rejected
    And the frame '{"sentAt":1,"messages":[{"kind":"started","job":"a"},{"kind":"later-version"},7]}' contains 1 message
