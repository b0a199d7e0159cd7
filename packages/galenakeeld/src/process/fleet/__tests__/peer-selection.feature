Feature: A daemon opens streams to its zone, and to few daemons of other zones unless it owns a cell

  Background:
    Given 3 zones of 5 daemons

  Scenario: A daemon without a cell opens streams to its zone and to two daemons of each other zone
    Then the first daemon of zone 0, which owns no cell, selects "4, 2, 2" daemons of the zones

  Scenario: An owner opens streams to all
    Then the first daemon of zone 0, which owns a cell, selects "4, 5, 5" daemons of the zones

  Scenario: Contacts are spread over the daemons of a zone
    Then no daemon is selected by more than 12 daemons that own no cell
