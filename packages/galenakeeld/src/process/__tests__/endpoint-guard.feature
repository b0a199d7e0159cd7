Feature: Circuit breakers and the retry budget

  Scenario: An endpoint that fails everything gets a probe now and then
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When the endpoint fails every task that it gets for 20000 ms
    Then it got at most 8 tasks

  Scenario: An endpoint that answers its probe gets work again
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When the endpoint fails 3 tasks at 0 ms
    Then the breaker is "open" at 999 ms
    And the breaker is "half-open" at 1000 ms
    When the endpoint answers a task at 1010 ms
    Then the breaker is "closed" at 1011 ms

  Scenario: Single failures among answers are no reason to stop
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When every fourth task of 100 fails
    Then the breaker is "closed" at 0 ms

  Scenario: A frozen endpoint that answers again is trusted at once
    Given a circuit breaker that opens after 3 failures for 1000 ms
    When the endpoint is found frozen at 0 ms
    Then the breaker is "open" at 1 ms
    When the endpoint answers a task at 20 ms
    Then the breaker is "closed" at 21 ms

  Scenario: An endpoint is found frozen only against measured run times
    Given an endpoint on which a task runs that is expected to take 400 ms at most
    Then the status of its guard is "closed"
    When the guards look at the endpoint after 750 ms
    Then the endpoint may take 0 further tasks
    And the status of its guard is "open" for "frozen"
    When the guards look at the endpoint after 1751 ms
    Then the endpoint may take 1 further tasks
    And the status of its guard is "half-open" for "frozen"

  Scenario: Tasks that run long everywhere say nothing about one endpoint
    Given an endpoint on which a task runs that is expected to take 400 ms at most
    And 1 of 10 tasks run as long on another endpoint, which answers
    When the guards look at the endpoint after 750 ms
    Then the endpoint may take 7 further tasks

  Scenario: An endpoint is found frozen while the others answer in time
    Given an endpoint on which a task runs that is expected to take 400 ms at most
    And 0 of 10 tasks run as long on another endpoint, which answers
    When the guards look at the endpoint after 750 ms
    Then the endpoint may take 0 further tasks

  Scenario Outline: The more tasks hang on an endpoint, the less it is chance
    Given an endpoint on which <hanging> tasks run that are expected to take 400 ms at most
    And 1 of 10 tasks run as long on another endpoint, which answers
    When the guards look at the endpoint after 750 ms
    Then the endpoint may take <further> further tasks

    Examples:
      | hanging | further |
      | 1       | 7       |
      | 3       | 0       |
      | 4       | 0       |

  Scenario Outline: Silence of some endpoints and of all
    Given 6 endpoints of which <silent> have answered nothing for far longer than their tasks take
    When the guards look at the endpoints
    Then <frozen> endpoints are taken for frozen

    Examples:
      | silent | frozen |
      | 1      | 1      |
      | 4      | 4      |
      | 6      | 0      |

  Scenario: A task without a measured run time says nothing about its endpoint
    Given an endpoint on which a task of unknown size runs
    When the guards look at the endpoint after 9000 ms
    Then the endpoint may take 7 further tasks

  Scenario: Retries stay within their share of first starts
    Given a retry budget of 0.1
    When 1000 tasks start and each asks to be retried
    Then at most 103 retries are granted

  Scenario: A service without retries gets none
    Given a retry budget of 0
    When 10 tasks start and each asks to be retried
    Then at most 0 retries are granted
