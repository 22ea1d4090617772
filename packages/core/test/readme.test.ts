import { expect } from "chai"
import { readExample, runExample } from "./readme.js"

for (const name of ["core", "observe"])
  it(`the example of ${name}'s README prints what it says`, async () => {
    const example = readExample(name)
    expect(await runExample(example)).to.equal(example.output)
  })
