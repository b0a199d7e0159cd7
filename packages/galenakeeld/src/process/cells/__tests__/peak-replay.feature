Feature: Cells that share room serve a crest like one queue for all endpoints

  The bound is the noise of the users' bench: what a queue for all serves is not to be lost by deciding in each zone.

  Scenario Outline: Four zones at <load>
    Given a load like the creameries', whose crest is <crest> times its mean
    When it is replayed with seeds "<seeds>" on cells of four zones, and on one cell of all endpoints
    Then the cells of four zones serve at most 0.03 less of it
    And each queue is served at least half as well as the whole

    Examples:
      | load              | crest | seeds   |
      | the usual crest   | 1.4   | 1, 2, 3 |
      | a high crest      | 1.9   | 1, 2, 3 |
      | twice the capacity | 2.3  | 1, 2, 3 |
