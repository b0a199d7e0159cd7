Feature: Estimates of run times and speeds

  Scenario: Measurements replace a wrong declared run time
    Given estimates for the kind "sheet" declared as 1000 ms
    When 50 tasks of "sheet" run for 100 ms each on endpoints of equal speed
    Then the expected run time of "sheet" is 95 to 105 ms

  Scenario: The speed of an endpoint is estimated independently of the size of tasks
    Given estimates for the kind "sheet" declared as 100 ms
    When 400 tasks of "sheet" run on an endpoint of speed 1 and one of speed 4
    Then the second endpoint is estimated 3.2 to 4.8 times as fast as the first

  Scenario: A few outliers don't change the typical run time
    Given estimates for the kind "sheet" declared as 100 ms
    When 95 tasks of "sheet" run for 100 ms each on endpoints of equal speed
    And 5 tasks of "sheet" run for 5000 ms each on endpoints of equal speed
    Then the expected run time of "sheet" is 95 to 105 ms

  Scenario: A kind counts as long only after enough measurements
    Given estimates for the kind "rerate" declared as 5000 ms
    Then "rerate" does not count as long
    When 200 tasks of "sheet" run for 100 ms each on endpoints of equal speed
    Then "rerate" counts as long
