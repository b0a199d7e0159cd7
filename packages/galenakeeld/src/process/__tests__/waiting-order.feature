Feature: Order of waiting tasks

  Scenario: A shorter task starts before a longer one that arrived shortly before it
    Given a waiting order without quotas
    When a task "long" of 800 ms of team "payroll" waits at 0 ms
    And a task "short" of 60 ms of team "payroll" waits at 100 ms
    Then the waiting tasks start in the order "short, long"

  Scenario: A longer task that has waited for some time starts before a shorter one
    Given a waiting order without quotas
    When a task "long" of 800 ms of team "payroll" waits at 0 ms
    And a task "short" of 60 ms of team "payroll" waits at 1700 ms
    Then the waiting tasks start in the order "long, short"

  Scenario: A team that sends more than its share waits behind the others
    Given a waiting order without quotas
    When 20 tasks of 100 ms of team "flood" wait at 0 ms
    And 2 tasks of 100 ms of team "payroll" wait at 10 ms
    Then the tasks of "payroll" are among the first 4 to start

  Scenario: Shares follow the quotas
    Given a waiting order in which team "payroll" has a share of 3
    When 40 tasks of 100 ms of team "payroll" wait at 0 ms
    And 40 tasks of 100 ms of team "depot" wait at 0 ms
    Then 30 of the first 40 tasks to start are of "payroll"
    And all waiting tasks start

  Scenario: Many cancellations leave the other tasks queued
    Given a waiting order without quotas
    When 1000 tasks of 100 ms of team "cancelled" wait at 0 ms
    And 3 tasks of 100 ms of team "payroll" wait at 1 ms
    And the tasks of team "cancelled" are removed
    Then 3 tasks wait with 300 ms of work

  Scenario: All teams are served when more of them wait than are tracked separately
    Given a waiting order without quotas
    When 300 teams wait with a task each while the first 200 are served
    Then all waiting tasks start
