Feature: Circuit breakers and the retry budget

  Scenario: An endpoint that fails every task receives only occasional probes
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When the endpoint fails every task that it receives for 20000 ms
    Then it received at most 8 tasks

  Scenario: A breaker closes after a successful probe
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When the endpoint fails 3 tasks at 0 ms
    Then the breaker is "open" at 999 ms
    And the breaker is "half-open" at 1000 ms
    When the endpoint answers a task at 1010 ms
    Then the breaker is "closed" at 1011 ms

  Scenario: Isolated failures do not open the breaker
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When every fourth task of 100 fails
    Then the breaker is "closed" at 0 ms

  Scenario: A frozen endpoint that answers again is used at once
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When the endpoint is detected as frozen at 0 ms
    Then the breaker is "open" at 1 ms
    When the endpoint answers a task at 20 ms
    Then the breaker is "closed" at 21 ms

  Scenario: A frozen endpoint is detected by measured run times
    Given an endpoint on which a task runs that is expected to take 400 ms at most
    Then the status of its breaker is "closed"
    When the circuit breakers are checked after 750 ms
    Then the endpoint may take 0 further tasks
    And the status of its breaker is "open" for "frozen"
    When the circuit breakers are checked after 1751 ms
    Then the endpoint may take 1 further tasks
    And the status of its breaker is "half-open" for "frozen"

  Scenario: Tasks that run long on all endpoints do not open the breaker of one
    Given an endpoint on which a task runs that is expected to take 400 ms at most
    And 1 of 10 tasks are as long overdue on another endpoint, which answers
    When the circuit breakers are checked after 750 ms
    Then the endpoint may take 7 further tasks

  Scenario: A frozen endpoint is detected while the others answer in time
    Given an endpoint on which a task runs that is expected to take 400 ms at most
    And 0 of 10 tasks are as long overdue on another endpoint, which answers
    When the circuit breakers are checked after 750 ms
    Then the endpoint may take 0 further tasks

  Scenario Outline: Several hanging tasks are significant where a single one is not
    Given an endpoint on which <hanging> tasks run that are expected to take 400 ms at most
    And 1 of 10 tasks are as long overdue on another endpoint, which answers
    When the circuit breakers are checked after 750 ms
    Then the endpoint may take <further> further tasks

    Examples:
      | hanging | further |
      | 1       | 7       |
      | 3       | 0       |
      | 4       | 0       |

  Scenario Outline: Silence of some endpoints opens their breakers, silence of all opens none
    Given 6 endpoints of which <silent> have not answered for far longer than their tasks take
    When the circuit breakers are checked
    Then <frozen> endpoints are considered frozen

    Examples:
      | silent | frozen |
      | 1      | 1      |
      | 4      | 4      |
      | 6      | 0      |

  Scenario: A task without a measured run time is no evidence against its endpoint
    Given an endpoint on which a task of unknown size runs
    When the circuit breakers are checked after 9000 ms
    Then the endpoint may take 7 further tasks

  Scenario: Retries are limited to a share of first starts
    Given a retry budget of 0.1
    When 1000 tasks start and each asks to be retried
    Then at most 103 retries are granted

  Scenario: A service without retries gets none
    Given a retry budget of 0
    When 10 tasks start and each asks to be retried
    Then at most 0 retries are granted
