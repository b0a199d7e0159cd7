Feature: Real daemons keep their promises while faults strike from outside

  Scenario Outline: A soak of <seconds> s with seed <seed> by the profile "<profile>"
    When daemons are soaked by the profile "<profile>" for <seconds> s with seed <seed>
    Then at least <faults> faults struck
    And no promise was broken

    Examples:
      | seconds | seed | faults | profile |
      | 12      | 1    | 5      | any     |
      | 12      | 2    | 5      | any     |
      | 12      | 1    | 8      | moves   |
      | 12      | 2    | 8      | moves   |
