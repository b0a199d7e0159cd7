Feature: A zone of full size earns its floor

  Scenario: A zone whose owners have little processor time earns its floor
    When the load of a grown zone is played for 15 s at 60 jobs a second on 0.25 of a core for each core, with seed 1
    Then no task of the grown load ran twice at the same time
    And each zone of the grown load earned its floor
