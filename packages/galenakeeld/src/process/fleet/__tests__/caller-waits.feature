Feature: A caller is taken to have left before it may submit its job again

  Background:
    Given callers that return 1300 ms after they left, and runs that go on for 1060 ms after a confirmation

  # Guards against TWICE: the end of a caller's connection never arrived, and its runs were extended beside those of its next call.
  Scenario: A caller whose end is never read is taken to have left a lease before its return
    When a caller sends a job at 0 ms and waits for 2000 ms
    And it is 2239 ms
    Then no caller has left
    When it is 2240 ms
    Then 1 caller has left

  Scenario: The wait counts from when the request can have been sent, not from when it was read
    When it is 900 ms
    And a caller sends a job at 100 ms and waits for 2000 ms
    And it is 2340 ms
    Then 1 caller has left

  Scenario: A caller that was answered is forgotten
    When a caller sends a job at 0 ms and waits for 2000 ms
    And the caller is answered
    And it is 5000 ms
    Then no caller has left

  Scenario: Each caller leaves once, in its time
    When a caller sends a job at 0 ms and waits for 3000 ms
    And a caller sends a job at 0 ms and waits for 2000 ms
    And it is 2300 ms
    Then 1 caller has left
    When it is 3300 ms
    Then 2 callers have left

  # Guards against TWICE: the steady clock stands still while the machine is suspended, and callers go on waiting.
  Scenario: The wait of a caller goes on while the machine is suspended
    When a caller sends a job at 0 ms and waits for 2000 ms
    And the machine is suspended for 3000 ms
    And it is 100 ms
    Then 1 caller has left
