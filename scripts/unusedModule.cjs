'use strict';

/** Stands for modules that the platform's program never calls. */
module.exports = () => {
  throw new Error('this part of a package is not included in the program');
};
