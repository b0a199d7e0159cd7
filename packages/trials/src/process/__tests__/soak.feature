Feature: Real daemons keep their promises while faults strike from outside

  Scenario Outline: A soak of <seconds> s with seed <seed>
    When daemons are soaked for <seconds> s with seed <seed>
    Then at least <faults> faults struck
    And no promise was broken

    Examples:
      | seconds | seed | faults |
      | 12      | 1    | 5      |
      | 12      | 2    | 5      |
