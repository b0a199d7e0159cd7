Feature: A new owner asks endpoints whose entries have just lapsed what runs there

  Background:
    Given a daemon of "north" that knows the list "i-1, i-2" of its zone

  Scenario: An endpoint that lapsed a moment ago is polled by the new owner
    When it receives the list "i-1" 1000 ms before it claims the cell
    Then its cell installs "i-1, i-2" and then "i-1"

  Scenario: An endpoint that lapsed some time ago is gone
    When it receives the list "i-1" 3000 ms before it claims the cell
    Then its cell installs "i-1" and then "i-1"
