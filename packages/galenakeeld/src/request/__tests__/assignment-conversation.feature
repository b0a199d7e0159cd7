Feature: Holders and owners keep the rules while streams break, daemons stand still and owners change

  Scenario: Conversations under seeded disruptions keep MIXED, REFUSED and TWICE, and each job is answered
    When the conversations of the seeds 30 to 70 are held
    Then no rule was broken
    And tasks were moved, refused and run by the owners of several cells

  Scenario: A job whose caller left while its holder stood still does not run beside its next submission
    When the conversations of the seeds 1110 to 1110 are held
    Then no rule was broken
