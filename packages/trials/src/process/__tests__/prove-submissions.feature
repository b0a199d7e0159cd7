Feature: What must hold for submissions holds under faults

  Scenario Outline: The histories of "<point>" show no violation
    When the histories of "<point>" run with the seed 1
    Then the point is proved by at least <histories> histories

    Examples:
      | point        | histories |
      | starts-once  | 8         |
      | job-whole    | 2         |
      | whole-answer | 2         |
      | true-refusal | 5         |
      | at-most-once | 3         |
