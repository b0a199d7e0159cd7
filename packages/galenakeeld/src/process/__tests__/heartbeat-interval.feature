Feature: The time between heartbeats grows with the number of instances

  Scenario Outline: The interval follows the square root of the number of instances
    Then with <instances> instances the interval is <milliseconds> ms

    Examples:
      | instances | milliseconds |
      | 1         | 500          |
      | 9         | 500          |
      | 17        | 500          |
      | 101       | 1250         |
      | 100000    | 5000         |

  Scenario: A longer interval is announced before it applies
    Given a source of heartbeats with an interval of 500 ms
    When the interval becomes 2000 ms
    Then the heartbeat at 500 ms announces 2000 ms and the next is sent at 2500 ms

  Scenario: A call postpones a heartbeat, but not indefinitely
    Given a source of heartbeats with an interval of 800 ms
    When a call postpones the heartbeat every 500 ms for 6000 ms
    Then heartbeats are sent at most 3300 ms apart, and at most 3 of them
