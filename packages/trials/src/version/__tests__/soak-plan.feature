Feature: The faults of a soak follow from its seed

  Scenario: The same seed plans the same faults
    Then two plans of 60000 ms with seed 7 are the same, and one with seed 8 is another

  Scenario: Faults strike in series and overlap
    Then in a plan of 60000 ms with seed 7 some faults begin before the one before has ended, and some after

  Scenario: Every kind of fault is planned
    Then 40 plans of 60000 ms have every kind of fault in them
