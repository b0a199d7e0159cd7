Feature: Figures of the load of a site that has grown

  Scenario: A late answer earns a fifth of one in time
    Given a job of its kind's mean size that was answered "in-aim"
    And a job of its kind's mean size that was answered "late"
    Then the share that was earned is 0.6
    And 2 of the jobs were served

  Scenario Outline: An answer that isn't complete in time for its value earns nothing
    Given a job of its kind's mean size that was answered "<outcome>"
    Then the share that was earned is 0

    Examples:
      | outcome    |
      | too-late   |
      | refused    |
      | failed     |
      | unanswered |

  Scenario: The worst zone is not hidden by the others
    Given a job of its kind's mean size in "north" that was answered "in-aim"
    And a job of its kind's mean size in "south" that was answered "refused"
    Then the worst zone earned 0

  Scenario: Arrivals follow the wave, and repeat for the same seed
    When arrivals at 100 a second that swing by 0.5 in 20 s are planned for 20 s with seed 3
    Then their number is 2000 within 5%
    And 1.5 to 2.5 times as many arrive in the first half as in the second
    And the same seed plans the same arrivals

  Scenario: No kinds of faults plan no fault
    When faults are planned for 60 s with seed 3 and no kinds
    Then 0 faults are planned
