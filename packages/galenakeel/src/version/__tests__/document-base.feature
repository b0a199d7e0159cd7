Feature: The version that a working copy is made from

  Scenario: The line comes off again exactly
    Then any document text gets back unchanged from its working copy, with the version

  Scenario: A text that does not say its version keeps every line
    Then the text "// a comment" says no version and stays as it is

  Scenario: A change is shown as a unified diff, and no change as nothing
    Then the difference between "a" and "b" removes the one and adds the other
    And the difference between "a" and "a" is empty
