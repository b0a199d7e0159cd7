Feature: What must always hold of the fleet and its documents, under failure

  Scenario Outline: The point "<point>" holds in its history <position> with seed 1
    When the history <position> of the point "<point>" is run with seed 1
    Then it shows no violation

    Examples:
      | point             | position |
      | leaving-endpoint  | 2        |
      | leaving-endpoint  | 5        |
      | graceful-shutdown | 1        |
      | graceful-shutdown | 2        |
      | document-in-force | 3        |
      | document-in-force | 5        |
      | platform-outage   | 1        |
      | platform-outage   | 9        |
