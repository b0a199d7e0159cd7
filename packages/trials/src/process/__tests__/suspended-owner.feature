Feature: An owner that was suspended starts nothing that its holder has given to another cell

  Scenario Outline: The owner of another zone is suspended while it runs the tasks of a job
    Given 2 daemons in 2 zones whose steady clocks stand still while they are suspended
    When a job that fills the first zone is submitted, and one whose tasks go to the second zone
    And the owner of the second zone is suspended for <milliseconds> ms
    And 3000 ms pass by on the platform
    Then no task ran twice at the same time

    Examples:
      | milliseconds |
      | 2300         |
      | 2600         |
      | 2900         |
